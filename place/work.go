package place

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotworks/member"
)

// maxParts limits the parts of a prompt that are considered. The first ones are those
// that most requests share.
const maxParts = 16

// Work is what a request costs a target. The zero value is work of unknown size.
type Work struct {
	// Prefixes are the parts of the prompt that other requests may share, each with
	// all parts before it.
	Prefixes     []Prefix
	PromptTokens int // Tokens of the whole prompt.
	OutputTokens int // Expected tokens of the response.
}

// Prefix is the beginning of a prompt.
type Prefix struct {
	Hash   uint64 // Hash of the identifiers of its parts.
	Tokens int
}

// WithPart returns the work with a further part that other requests may share.
func (w Work) WithPart(id string, tokens int) Work {
	if len(w.Prefixes) == maxParts {
		return w
	}
	last := w.lastPrefix()
	w.Prefixes = append(slices.Clip(w.Prefixes), Prefix{
		Hash: member.Score(last.Hash+1, xxhash.Sum64String(id)), Tokens: last.Tokens + max(0, tokens),
	})
	return w
}

// lastPrefix returns the longest prefix, which is empty if no part is shared.
func (w Work) lastPrefix() Prefix {
	if len(w.Prefixes) == 0 {
		return Prefix{}
	}
	return w.Prefixes[len(w.Prefixes)-1]
}

// tokens returns the number of tokens that a target holds for the request.
func (w Work) tokens() int { return max(w.PromptTokens, w.lastPrefix().Tokens) + w.OutputTokens }

// unread returns the number of tokens that a target reads which has the first tokens of
// the prompt cached.
func (w Work) unread(cached int) float64 {
	return float64(max(0, max(w.PromptTokens, w.lastPrefix().Tokens)-cached))
}
