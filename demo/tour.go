package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"bergamotworks/entry"
	"bergamotworks/fault"
	"bergamotworks/flow"
	"bergamotworks/note"
)

// Tour sends one request to each pipeline of a system, and one to the opaque route
// if the configuration has one, and prints the responses.
type Tour struct {
	System *System
	Output io.Writer
	// Continues means that the system runs on after the tour, so that a command for
	// a further request is printed.
	Continues bool
}

// Run sends the requests to the pipelines, each to the next ready node, and the one
// to the opaque route to the last node. If the system runs on, Run also prints a
// command for a further request.
func (t *Tour) Run() error {
	config := t.System.Config()
	account := firstAccount(config)
	addresses := t.System.Addresses()
	for i, name := range pipelineNames(config) {
		response, err := t.send(addresses[i%len(addresses)], account, name)
		if err != nil {
			return err
		}
		if err := t.print(name, response); err != nil {
			return err
		}
	}
	if len(config.Sections.Routes) > 0 {
		if err := t.runRoute(account); err != nil {
			return err
		}
	}
	if t.Continues {
		t.printHint(addresses[0], account, config)
	}
	return nil
}

// printHint prints a command that sends a request for a stream to the running
// system. It needs a pipeline that ends in a generate stage, as every shipped
// deployment has.
func (t *Tour) printHint(address, account string, config note.Config) {
	name := streamedPipeline(config)
	fmt.Fprintf(t.Output, "Try it while it runs:\n\n  curl -N http://%s%s%s -H '%s: %s' -H 'Content-Type: application/json' -d '{\"input\": \"Does the warranty cover a torn seam?\", \"stream\": true}'\n\n",
		address, "/v1/pipelines/", name, entry.HeaderAccount, account)
}

func firstAccount(config note.Config) string {
	var names []string
	for n := range config.Sections.Accounts {
		names = append(names, n)
	}
	return slices.Min(names)
}

func pipelineNames(config note.Config) []string {
	var names []string
	for n := range config.Sections.Pipelines {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// streamedPipeline returns the first pipeline that ends in a generate stage, or an
// empty string if there is none.
func streamedPipeline(config note.Config) string {
	for _, n := range pipelineNames(config) {
		stages := config.Sections.Pipelines[n].Stages
		if config.Sections.Services[stages[len(stages)-1].Service].Kind == note.Generate {
			return n
		}
	}
	return ""
}

func (t *Tour) send(address, account, pipeline string) (flow.Response, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	key, err := uuid.NewV7()
	if err != nil {
		return flow.Response{}, err
	}
	request.SetRequestURI("http://" + address + "/v1/pipelines/" + pipeline)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(entry.HeaderAccount, account)
	request.Header.Set(entry.HeaderIdempotencyKey, key.String())
	request.SetBodyString(`{"input": "A question about ` + pipeline + `"}`)
	if err := fasthttp.Do(request, response); err != nil {
		return flow.Response{}, err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return flow.Response{}, fault.New(fault.Internal, fault.MayHaveRun, "pipeline %s: %s", pipeline, response.Body())
	}
	var decoded flow.Response
	err = json.Unmarshal(response.Body(), &decoded)
	return decoded, err
}

func (t *Tour) print(pipeline string, response flow.Response) error {
	fmt.Fprintf(t.Output, "%s  request %s\n", pipeline, response.RequestID)
	fmt.Fprintf(t.Output, "  %s\n", truncate(string(response.Output)))
	w := tabwriter.NewWriter(t.Output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  STAGE\tTARGET\tDOMAIN\tQUEUE MS\tSERVICE MS\tTOKENS")
	for _, s := range response.Stages {
		fmt.Fprintf(w, "  %s\t%s\t%s\t%.1f\t%.1f\t%d\n", s.Stage, s.Target, s.Domain, s.QueueMS, s.ServiceMS, s.Tokens)
	}
	fmt.Fprintln(w)
	return w.Flush()
}

const maxOutputBytes = 100 // Bytes of an output that are printed.

func truncate(text string) string {
	if len(text) <= maxOutputBytes {
		return text
	}
	return text[:maxOutputBytes] + "..."
}
