package wire

import "bergamotworks/site"

// Guard decides on calls to targets and learns from the responses. It is safe for
// concurrent use.
type Guard interface {
	// Admit is called when the connection of a call is established, immediately
	// before the call is sent. If it returns an error, the call is not sent and fails
	// with that error, which must wrap a *fault.Error with the verdict NotRun.
	Admit(target site.Target) error
	// Observe is called with the header of each response that the target sends, whether
	// or not it is the one to the call, before it is used.
	Observe(target site.Target, status int, headers Headers)
}

// admit asks the guard whether a call may be sent.
func (c *Client) admit(call Call) error {
	if c.Guard == nil || call.Target.ID == "" {
		return nil
	}
	return c.Guard.Admit(call.Target)
}

// observe passes the header of a response to the guard.
func (c *Client) observe(call Call, r *Response) {
	if c.Guard != nil && call.Target.ID != "" {
		c.Guard.Observe(call.Target, r.Status, r.Headers)
	}
}
