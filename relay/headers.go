package relay

// HeaderNames are the names of the header fields that clients, nodes and
// targets exchange. [DefaultHeaderNames] returns the standard ones.
type HeaderNames struct {
	Request     string // Identifier of the request; responses repeat it.
	Deadline    string // Time in milliseconds for which the client waits.
	AccountKey  string // API key of the client account; never forwarded to targets.
	Account     string // Name of the client account, set for the target.
	Target      string // Identifier of the target that the request is meant for.
	Sender      string // Identifier of the VM that sends a call, set for the target; empty if targets are not told.
	Seal        string // Set by a target on every response that it makes itself; a response without it comes from something else.
	NotRun      string // Set on a response if the target did not run the request.
	Leaving     string // Set by a target on every response once it leaves; empty if targets do not say so.
	Responder   string // Identifier of the target that responds in place of another one; empty if targets do not say so.
	Load        string // Numbers of the target's running requests, waiting requests and slots, and maybe its work factor in percent and others, separated by commas.
	PromptParts string // Parts of the prompt in order, ID:TOKENS, separated by commas.
	Tokens      string // Number of tokens of the prompt and maximum number of those of the response, separated by a comma.
	LengthHint  string // Expected number of tokens of the response, if the client can tell.
	StagePieces string // Number of pieces of each stage, separated by commas.
	PieceKey    string // Key that identifies the input of pieces that read no results.
	Inputs      string // Handles of the results that the request reads, separated by commas.
	LastEvent   string // Identifier of the last event that the client received.
	Priority    string // Priority of a stream at the target, from 0 to 9; lower is more urgent.
	BackupTo    string // Address of the target that is to hold a copy of the run as it grows; empty if targets make none.
	CopyFrom    string // Copy from which the run goes on: the address of the target that has or made it, and its identifier; empty like BackupTo.
	// Reserved are further fields that only the system sets; they are dropped
	// from requests of clients.
	Reserved []string
}

// DefaultHeaderNames returns the standard header names.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{ //nolint:gosec // Names of header fields, no credentials.
		Request: "X-Request-Id", Deadline: "X-Timeout-Ms", AccountKey: "X-Api-Key", Account: "X-Account",
		Target: "X-Target", Sender: "X-Sender", Seal: "X-Target-Seal", NotRun: "X-Not-Run", Leaving: "X-Leaving", Load: "X-Load",
		PromptParts: "X-Prompt-Parts", StagePieces: "X-Stage-Pieces", PieceKey: "X-Stage-Key", Inputs: "X-Stage-Results",
		LastEvent: "Last-Event-ID", Priority: "X-Urgency", Tokens: "X-Token-Counts", LengthHint: "X-Expected-Length",
	}
}
