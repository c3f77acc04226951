package relay

// HeaderNames are the header fields that callers, nodes and targets exchange. Use
// [DefaultNames] for the product's own.
type HeaderNames struct {
	Request     string // Identifier of the caller's attempt; the answer repeats it.
	Deadline    string // Milliseconds for which the caller waits.
	APIKey      string // Key of the client account; targets never see it.
	Account     string // Name of the client account, for the target.
	Target      string // Identifier of the target that a request is meant for.
	Seal        string // The target's mark on an answer of its own.
	NotRun      string // Set on an answer if the target has not run the request.
	Load        string // Running and waiting requests and slots of the target.
	PromptParts string // Parts of the prompt in order, ID:TOKENS.
	StagePieces string // Number of pieces of each stage.
	PieceKey    string // What pieces without inputs are made of.
	Inputs      string // Handles of the results that the request reads.
	LastEvent   string // Identifier of the last event that arrived.
	Urgency     string // Rank of the request at the target; zero is the most urgent.
	// Own are further fields that only the system sets; callers' are dropped.
	Reserved []string
}

// DefaultHeaderNames are the names on the product's own interface.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		Request: "X-Request-Id", Deadline: "X-Timeout-Ms", APIKey: "X-Api-Key", Account: "X-Account",
		Target: "X-Target", Seal: "X-Target-Seal", NotRun: "X-Not-Run", Load: "X-Load",
		PromptParts: "X-Prompt-Parts", StagePieces: "X-Stage-Pieces", PieceKey: "X-Stage-Key", Inputs: "X-Stage-Results",
		LastEvent: "Last-Event-ID", Urgency: "X-Urgency",
	}
}
