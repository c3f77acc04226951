// Package admin serves operators over HTTP: release notes, the configuration
// in force, the state of nodes, targets and failure domains, the service-level
// burn, metrics, health and readiness.
package admin
