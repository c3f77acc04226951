// Package wire reads and writes HTTP/1.1 on connections that a node passes on.
//
// Requests are read strictly: a message that two readers could take apart
// differently is refused. Answers are read piece by piece, and only an answer
// whose end was seen counts as whole.
package wire
