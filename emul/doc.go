// Package emul implements stand-ins for model engines and plain services.
//
// A [Target] serves the wire formats of package engine over real sockets. It
// models cold starts, continuous batching, a bounded prefix cache and delayed
// load reports. Faults can be injected at run time, and the target counts the
// calls that it receives. A [Fleet] runs a stand-in for each configured target.
//
// Outputs depend on the request alone, so that [Output] and [PipelineOutput]
// return the response that a client must get: complete, and its own.
package emul
