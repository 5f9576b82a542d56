//! Service-level burn: how fast each class spends its error budget.
