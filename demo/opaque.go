package demo

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"bergamotworks/emul"
	"bergamotworks/fault"
	"bergamotworks/relay"
)

// runRoute sends one request of the opaque route to a node and prints the
// response.
func (t *Tour) runRoute(account string) error {
	addresses := t.System.RouteAddresses()
	response, seal, err := sendRouteRequest(addresses[len(addresses)-1], account, "A poster of a roof")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(t.Output, "%s%s  opaque route, %d tiles processed as pieces\n  %s responded with %q for %s, using %d results\n\n",
		RouteHost, RoutePrefix, routePieces, seal, response.Body, response.Account, response.Results)
	return err
}

// sendRouteRequest sends one request of the opaque route to a node. It returns the
// response and its seal, which starts with the name of the target that made it.
func sendRouteRequest(address, account, body string) (emul.OpaqueResponse, string, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	names := relay.DefaultHeaderNames()
	request.SetRequestURI("http://" + address + RoutePrefix + "tiles")
	request.UseHostHeader = true
	request.Header.SetHost(RouteHost)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(names.Request, uuid.NewString())
	request.Header.Set(names.AccountKey, account)
	request.Header.Set(names.Deadline, strconv.Itoa(routeDeadlineMS))
	request.Header.Set(names.StagePieces, strconv.Itoa(routePieces))
	request.Header.Set(names.PieceKey, "roof")
	request.SetBodyString(body)
	if err := fasthttp.Do(request, response); err != nil {
		return emul.OpaqueResponse{}, "", err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return emul.OpaqueResponse{}, "", fault.New(fault.Internal, fault.MayHaveRun, "opaque route: %d %s", response.StatusCode(), response.Body())
	}
	var decoded emul.OpaqueResponse
	err := json.Unmarshal(response.Body(), &decoded)
	return decoded, string(response.Header.Peek(names.Seal)), err
}
