//! Markdown tables of a benchmark report.

use std::fmt::Write;

use serde_json::Value;

/// Quantiles in the latency table, by their JSON names.
const QUANTILES: [&str; 3] = ["p50", "p99", "p999"];
/// Columns of the count table, by their JSON names.
const COUNTS: [&str; 10] =
    ["asked", "served", "refused", "false_not_run", "unknown", "failed", "lost", "doubled", "wrong", "urgent_late"];

/// Numeric value of a field; NaN if the field is missing or not a number.
fn to_f64(value: &Value) -> f64 {
    value.as_f64().unwrap_or(f64::NAN)
}

/// Formats a report of lines `{user, part, result}` as Markdown tables.
#[must_use]
pub fn format_report(lines: &[Value]) -> String {
    let parts = |start: &'static str| {
        lines.iter().filter_map(move |l| Some((l["part"].as_str()?.strip_prefix(start)?.trim(), &l["result"])))
    };
    let user = lines.first().and_then(|l| l["user"].as_str()).unwrap_or_default();
    let mut text = format!("### {user}\n\n");
    let loads: Vec<_> = parts("load-average").filter_map(|(_, r)| r.as_str()).collect();
    // Writing to a string doesn't fail.
    let _ = writeln!(text, "Load average of the machine before and after: {}.\n", loads.join("; "));
    write_latency(&mut text, parts("latency:"));
    write_counts(&mut text, parts("check:"));
    write_usage(&mut text, parts("use:"));
    text
}

fn write_latency<'a>(text: &mut String, parts: impl Iterator<Item = (&'a str, &'a Value)>) {
    let mut rows = String::new();
    for (name, result) in parts {
        let at = |side: &str, quantile: &str| to_f64(&result[side]["all"]["service_ms"][quantile]);
        let _ = write!(rows, "| {name} |");
        for quantile in QUANTILES {
            let (direct, entry) = (at("direct", quantile), at("entry", quantile));
            let _ = write!(rows, " {direct:.2} | {entry:.2} | {:.2} |", entry - direct);
        }
        rows.push('\n');
    }
    if !rows.is_empty() {
        text.push_str("| run | direct p50, ms | entry p50 | added p50 | direct p99 | entry p99 | added p99 ");
        text.push_str("| direct p99.9 | entry p99.9 | added p99.9 |\n");
        text.push_str(&format!("|---|{}\n{rows}\n", "---:|".repeat(9)));
    }
}

fn write_counts<'a>(text: &mut String, parts: impl Iterator<Item = (&'a str, &'a Value)>) {
    let _ = writeln!(text, "| part | {} | urgent in time, % |", COUNTS.join(" | ").replace('_', " "));
    let _ = writeln!(text, "|---|{}", "---:|".repeat(COUNTS.len() + 1));
    let mut notes = String::new();
    for (name, result) in parts {
        for phase in result["phases"].as_array().into_iter().flatten() {
            let counts = &phase["counts"];
            let _ = write!(text, "| {name}, {} |", phase["phase"].as_str().unwrap_or_default());
            for count in COUNTS {
                let _ = write!(text, " {} |", counts[count]);
            }
            let urgent = to_f64(&counts["urgent_in_time"]) * 100.0 / to_f64(&counts["urgent"]);
            let _ = writeln!(text, " {urgent:.2} |");
        }
        if let Some(goodput) = result["goodput_percent"].as_f64() {
            let rate = to_f64(&result["goodput_per_second"]);
            let _ = writeln!(notes, "- {name}: goodput {rate:.1} a second, {goodput:.2} % of capacity");
        }
        if let Some(gap) = result["share_gap_points"].as_f64() {
            let _ = writeln!(notes, "- {name}: gap to share {gap:.2} points ({} samples)", result["share_samples"]);
        }
    }
    let _ = writeln!(text, "\n{notes}");
}

fn write_usage<'a>(text: &mut String, parts: impl Iterator<Item = (&'a str, &'a Value)>) {
    text.push_str("| part | answers per CPU second | CPU of an entry, % of a core: mean | peak second ");
    text.push_str("| resident MB, most |\n|---|---:|---:|---:|---:|\n");
    let mut notes = String::new();
    for (name, result) in parts {
        let at = |field: &str| to_f64(&result[field]);
        let _ = writeln!(
            text,
            "| {name} | {:.0} | {:.2} | {:.2} | {:.1} |",
            at("answers_per_cpu_second"),
            at("cpu_percent_mean"),
            at("cpu_percent_peak"),
            at("resident_mb_peak"),
        );
        let _ = write!(notes, "\n- {name}, calls a second, mean (peak second):");
        for (call, rate) in result["rates"].as_object().into_iter().flatten() {
            let _ = write!(notes, " {call} {:.1} ({:.0}),", to_f64(&rate["mean"]), to_f64(&rate["peak"]));
        }
    }
    let _ = writeln!(text, "{notes}");
}
