// Package note defines the configuration and the release notes that change it.
//
// A [Config] is the complete configuration at one revision. A [Note] lists the
// objects that it adds, changes and withdraws. Both are encoded as JSON with
// field names in snake case, and must not be modified once they are shared.
//
// A stage of a [Pipeline] is one call to a service. A [RouteStage] is work that
// is split into pieces and done before an opaque request of a [Route] runs.
package note
