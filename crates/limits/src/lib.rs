//! Admission, fair shares between workspaces, and retry budgets.
