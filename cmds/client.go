package cmds

import (
	"encoding/json"
	"flag"
	"net/netip"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/entry"
	"bergamotworks/fault"
)

// client calls the operators' side of a node.
type client struct {
	addresses string
	timeout   time.Duration
}

const defaultAdmin = "127.0.0.1:7070"

func (c *client) register(flags *flag.FlagSet) {
	flags.StringVar(&c.addresses, "admin", defaultAdmin, "operators' addresses of nodes, IP:port, separated by commas; the first that answers is used")
	flags.DurationVar(&c.timeout, "timeout", 10*time.Second, "time limit of the command")
}

func (c *client) check() error {
	if c.timeout <= 0 {
		return badSetting("timeout", "must be positive")
	}
	for _, a := range c.list() {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return badSetting("admin", "%q is not IP:port", a)
		}
	}
	return nil
}

func (c *client) list() []string {
	return strings.Split(c.addresses, ",")
}

// get reads a resource from the first node that answers.
func (c *client) get(path string, result any) error {
	return c.first(fasthttp.MethodGet, path, nil, result)
}

// post sends a body to the first node that can be reached.
func (c *client) post(path string, body, result any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.first(fasthttp.MethodPost, path, text, result)
}

func (c *client) first(method, path string, body []byte, result any) error {
	if err := c.check(); err != nil {
		return err
	}
	var err error
	for _, a := range c.list() {
		err = c.call(a, method, path, body, result)
		if err == nil || fault.From(err).Kind != fault.Unavailable {
			return err
		}
	}
	return err
}

// call calls one node. Unavailable means that the node was not reached.
func (c *client) call(address, method, path string, body []byte, result any) error {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(method)
	request.SetBody(body)
	h := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := h.DoTimeout(request, response, c.timeout); err != nil {
		return fault.New(fault.Unavailable, fault.MayHaveRun, "node %s: %s", address, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return problemError(response)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(response.Body(), result)
}

func problemError(response *fasthttp.Response) error {
	var p entry.Problem
	if err := json.Unmarshal(response.Body(), &p); err != nil {
		return fault.New(fault.Internal, fault.MayHaveRun, "status %d", response.StatusCode())
	}
	return &fault.Error{Kind: p.Kind, Verdict: p.Verdict, Field: p.Field, Message: p.Detail}
}
