// Package wire reads and writes HTTP/1.1 messages for a node that forwards
// requests to targets.
//
// Requests are parsed strictly: a message whose boundaries two parsers could
// interpret differently is rejected, which prevents request smuggling. Response
// bodies are streamed, and a response is complete only if its end was read.
package wire
