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

// showRoute sends one request of the opaque route to a node and prints its
// answer.
func (t *Tour) showRoute(account string) error {
	addresses := t.System.RouteAddresses()
	answer, target, err := askRoute(addresses[len(addresses)-1], account, "A poster of a roof")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(t.Output, "%s%s  opaque route, %d tiles made in pieces\n  %s answered %q for %s with %d results\n\n",
		RouteHost, RoutePrefix, routePieces, target, answer.Body, answer.Account, answer.Results)
	return err
}

// askRoute sends one request of the opaque route to a node. It returns the
// answer and the mark of the target that gave it.
func askRoute(address, account, body string) (emul.OpaqueResponse, string, error) {
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
	request.Header.Set(names.Deadline, strconv.Itoa(routeDeadline))
	request.Header.Set(names.StagePieces, strconv.Itoa(routePieces))
	request.Header.Set(names.PieceKey, "roof")
	request.SetBodyString(body)
	if err := fasthttp.Do(request, response); err != nil {
		return emul.OpaqueResponse{}, "", err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return emul.OpaqueResponse{}, "", fault.New(fault.Internal, fault.MayHaveRun, "opaque route: %d %s", response.StatusCode(), response.Body())
	}
	var answer emul.OpaqueResponse
	err := json.Unmarshal(response.Body(), &answer)
	return answer, string(response.Header.Peek(names.Seal)), err
}
