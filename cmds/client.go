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

// adminClient calls the admin API of nodes.
type adminClient struct {
	addresses string
	timeout   time.Duration
}

const defaultAdmin = "127.0.0.1:7070"

func (c *adminClient) registerFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.addresses, "admin", defaultAdmin, "admin addresses of nodes, IP:port, separated by commas; the first node that responds is used")
	flags.DurationVar(&c.timeout, "timeout", 10*time.Second, "time limit of the command")
}

func (c *adminClient) check() error {
	if c.timeout <= 0 {
		return usageErrorf("timeout", "must be positive")
	}
	for _, a := range c.addressList() {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return usageErrorf("admin", "%q is not IP:port", a)
		}
	}
	return nil
}

func (c *adminClient) addressList() []string {
	return strings.Split(c.addresses, ",")
}

// get reads a resource from the first node that can be reached.
func (c *adminClient) get(path string, result any) error {
	return c.tryEach(fasthttp.MethodGet, path, nil, result)
}

// post sends a body to the first node that can be reached.
func (c *adminClient) post(path string, body, result any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.tryEach(fasthttp.MethodPost, path, text, result)
}

func (c *adminClient) tryEach(method, path string, body []byte, result any) error {
	if err := c.check(); err != nil {
		return err
	}
	var err error
	for _, a := range c.addressList() {
		err = c.call(a, method, path, body, result)
		if err == nil || fault.From(err).Kind != fault.Unavailable {
			return err
		}
	}
	return err
}

// call calls one node. The error has the kind Unavailable if no response
// arrived.
func (c *adminClient) call(address, method, path string, body []byte, result any) error {
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
