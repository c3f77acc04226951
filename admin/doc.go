// Package admin is the HTTP server for operators.
//
// It accepts release notes and shows the active configuration, the state of
// nodes, targets and failure domains, the attainment of service-level
// objectives, ledger records, engine orders, metrics, health and readiness.
package admin
