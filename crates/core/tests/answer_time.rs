//! Time limits of calls to slow services.

use carawaybarrow_core::answer_time::AnswerTime;
use carawaybarrow_core::units::Millis;

/// Guards against a service that is slower than its limit and is asked again and again without ever being waited for.
#[test]
fn limit_grows_until_a_slow_service_answers_and_then_follows_its_answers() {
    let mut time = AnswerTime::new(Millis(1_000), 3);
    let answer = Millis(3_500);
    let mut unanswered = 0;
    for _ in 0..20 {
        if time.limit(Millis(0)) >= answer {
            time.record_answer(answer);
        } else {
            time.record_unanswered();
            unanswered += 1;
        }
    }
    assert_eq!(unanswered, 2, "limits of 1 s and 2 s");
    assert_eq!(time.limit(Millis(0)), Millis(8_000));
    time.record_answer(Millis(4));
    assert_eq!(time.limit(Millis(0)), Millis(1_008));
}

/// Guards against a limit without a bound.
#[test]
fn limit_is_bounded() {
    let mut time = AnswerTime::new(Millis(1_000), 3);
    (0..100).for_each(|_| time.record_unanswered());
    assert_eq!(time.limit(Millis(500)), Millis(16_000));
}
