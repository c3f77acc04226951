package relay

import (
	"strconv"
	"strings"

	"bergamotworks/site"
	"bergamotworks/wire"
)

// targetCall returns the request as it is sent to a target.
func (x *exchange) targetCall(t site.Target) wire.Call {
	n := x.server.Names
	headers := x.forwardedHeaders()
	headers = append(headers, wire.Header{Name: n.Deadline, Value: strconv.FormatInt(max(1, x.timeLeft().Milliseconds()), 10)},
		wire.Header{Name: n.Target, Value: t.ID})
	if n.Sender != "" {
		headers = append(headers, wire.Header{Name: n.Sender, Value: x.server.Self})
	}
	if x.account.Name != "" {
		headers = append(headers, wire.Header{Name: n.Account, Value: x.account.Name})
	}
	if x.route.Kind == site.Stream {
		headers = append(headers, wire.Header{Name: n.Priority, Value: strconv.Itoa(min(maxPriority, max(0, x.priority())))})
	}
	if x.headerSent {
		headers = append(headers, wire.Header{Name: n.LastEvent, Value: strconv.FormatInt(x.lastEventID, 10)})
	}
	if inputs := x.inputHandles(); len(inputs) > 0 {
		headers = append(headers, wire.Header{Name: n.Inputs, Value: strings.Join(inputs, ",")})
	}
	if x.hasBackupFrom(t) && x.copies.from == "" {
		headers = append(headers, wire.Header{Name: n.BackupTo, Value: x.copies.backup.Address})
	}
	if x.copies.from != "" {
		headers = append(headers, wire.Header{Name: n.CopyFrom, Value: x.copies.from})
	}
	guarded := t
	if x.copies.returns { // The guard must not hold the call back: the run was at this target before.
		guarded = site.Target{}
	}
	return wire.Call{
		Address: t.Address, Target: guarded, Method: x.request.Method, URI: x.request.URI, Headers: headers, Body: x.request.Body,
		NewConnection: !x.route.Retryable() || x.copies.from != "", Correlation: wire.Header{Name: n.Request, Value: x.id},
	}
}

// forwardedHeaders returns the client's header fields without hop-by-hop fields
// and those that only the system sets.
func (x *exchange) forwardedHeaders() wire.Headers {
	listed := connectionHeaders(x.request.Headers)
	for _, name := range x.server.endToEndHeaders() {
		delete(listed, name)
	}
	out := make(wire.Headers, 0, len(x.request.Headers)+5)
	for _, h := range x.request.Headers {
		name := strings.ToLower(h.Name)
		if x.server.dropped[name] || listed[name] {
			continue
		}
		if strings.EqualFold(h.Name, x.server.Names.LastEvent) && (x.headerSent || !x.route.Resumable) {
			continue
		}
		out = append(out, h)
	}
	return out
}

// endToEndHeaders returns the fields, in lower case, that are always forwarded,
// even if a client lists them in its Connection field.
func (s *Server) endToEndHeaders() []string {
	n := s.Names
	fields := []string{"host"}
	for _, name := range []string{n.Request, n.PromptParts, n.LastEvent, n.Tokens, n.LengthHint} {
		fields = append(fields, strings.ToLower(name))
	}
	return fields
}

// connectionHeaders returns the fields, in lower case, that the Connection
// field of a message lists.
func connectionHeaders(headers wire.Headers) map[string]bool {
	var listed map[string]bool
	for _, h := range headers {
		if strings.ToLower(h.Name) != headerConnection {
			continue
		}
		for _, p := range strings.Split(h.Value, ",") {
			if listed == nil {
				listed = make(map[string]bool)
			}
			listed[strings.ToLower(strings.TrimSpace(p))] = true
		}
	}
	return listed
}

// droppedHeaders returns the fields, in lower case, that are never forwarded
// from a client.
func droppedHeaders(n HeaderNames) map[string]bool {
	dropped := make(map[string]bool)
	for _, f := range hopByHopHeaders() {
		dropped[f] = true
	}
	for _, f := range append([]string{"proxy-authorization", "expect", n.AccountKey, n.Account, n.Target, n.Sender, n.Inputs, n.Priority, n.Deadline, n.BackupTo, n.CopyFrom}, n.Reserved...) {
		dropped[strings.ToLower(f)] = true
	}
	return dropped
}
