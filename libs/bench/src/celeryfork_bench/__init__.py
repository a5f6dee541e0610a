"""Load, histories and their checker, experiments with bounds, reports, the demo."""
