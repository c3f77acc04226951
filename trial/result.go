package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotworks/emul"
	"bergamotworks/fault"
)

// Result has the measurements of a run.
type Result struct {
	Script     string `json:"script"`
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// Capacity is the rate of requests at which Bottleneck is fully used.
	Capacity float64 `json:"capacity_per_second"`
	// OfferedPerSecond is Capacity times the load share of the script.
	OfferedPerSecond float64 `json:"offered_per_second"`
	// AttainedPerSecond is the rate of correct responses within their deadline
	// that arrived after the warm-up and before the end of the script.
	AttainedPerSecond float64 `json:"attained_per_second"`
	// Bottleneck is the service that reaches its capacity first. GoodputShare is
	// the work of the responses counted in AttainedPerSecond at that service, at
	// typical speed, as a share of what its warm targets can do in that time.
	// Counting work rather than responses makes it independent of which pipelines
	// were served.
	Bottleneck   string  `json:"bottleneck"`
	GoodputShare float64 `json:"goodput_share"`

	DurationMS int64             `json:"duration_ms"`
	Total      Counts            `json:"total"`
	Classes    map[string]Counts `json:"classes"`
	Accounts   map[string]Counts `json:"accounts"`
	Failures   map[string]int    `json:"failures"` // By kind and verdict.
	// Latency is over all attempts of counted requests that succeeded, also of
	// late and wrong ones. FirstToken, since the start of the successful attempt,
	// and BetweenTokens are of the streams among them.
	Latency       Percentiles     `json:"latency"`
	FirstToken    Percentiles     `json:"first_token"`
	BetweenTokens Percentiles     `json:"between_tokens"`
	Stages        map[string]Cost `json:"stages"`
	AccountCosts  map[string]Cost `json:"account_costs"`
	// ClientRetries is the number of retries by clients per request.
	// InternalRetries is the number of runs of stages beyond those that the
	// clients' attempts account for, per expected run.
	ClientRetries   float64         `json:"caller_retries"`
	InternalRetries float64         `json:"internal_retries"`
	Targets         emul.Snapshot   `json:"targets"`
	CostComparison  *CostComparison `json:"accounted,omitempty"`
	Properties      []Property      `json:"properties"`
	Seconds         []Second        `json:"seconds"`
	Marks           []Mark          `json:"marks"`
	// Errors lists the events that failed.
	Errors []string `json:"errors,omitempty"`
	// NotOffered counts requests that were not sent because too many clients
	// had a request in flight.
	NotOffered int64 `json:"not_offered"`
}

// Passed reports whether every property held and no event failed.
func (r Result) Passed() bool {
	for _, v := range r.Properties {
		if !v.Pass {
			return false
		}
	}
	return len(r.Errors) == 0
}

// Counts are numbers of requests by outcome.
type Counts struct {
	Requests   int `json:"requests"`
	Attained   int `json:"attained"`     // Correct response within the deadline.
	Late       int `json:"late"`         // Correct response after the deadline.
	Wrong      int `json:"wrong"`        // Incorrect or incomplete response.
	NotRun     int `json:"not_run"`      // Failed with the verdict NotRun.
	MayHaveRun int `json:"may_have_run"` // Failed with any other verdict.
}

// Attainment returns the share of requests with a correct response within the
// deadline, 0 to 1; it is 1 if there were no requests.
func (c Counts) Attainment() float64 {
	if c.Requests == 0 {
		return 1
	}
	return float64(c.Attained) / float64(c.Requests)
}

func (c Counts) with(r record) Counts {
	c.Requests++
	switch {
	case r.succeeded && r.wrong:
		c.Wrong++
	case r.attained():
		c.Attained++
	case r.succeeded:
		c.Late++
	case r.verdict == fault.NotRun:
		c.NotRun++
	default:
		c.MayHaveRun++
	}
	return c
}

// Percentiles are percentiles of a time in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(share float64) float64 {
		return float64(h.ValueAtQuantile(share)) / float64(time.Millisecond/time.Microsecond)
	}
	return Percentiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// Second counts the requests that started in one second.
type Second struct {
	At       int `json:"at_s"`
	Requests int `json:"requests"`
	Attained int `json:"attained"`
}

// result computes the result after the run has ended.
func (e *experiment) result() Result {
	l := e.load
	l.collector.mutex.Lock()
	defer l.collector.mutex.Unlock()
	records := l.collector.records
	result := Result{
		Script: l.script.Name, Deployment: l.script.Deployment, Policy: e.options.Policy, Seed: l.script.Seed,
		Capacity: l.bottleneck.rate, OfferedPerSecond: l.script.LoadShare * l.bottleneck.rate,
		Bottleneck: l.bottleneck.service, DurationMS: l.script.DurationMS,
		Classes: make(map[string]Counts), Accounts: make(map[string]Counts), Failures: make(map[string]int),
		Latency: percentiles(l.collector.latency), FirstToken: percentiles(l.collector.firstToken),
		BetweenTokens: percentiles(l.collector.betweenTokens), Targets: e.fleet.Snapshot(),
		Marks: e.events.marks, Errors: e.events.errors, NotOffered: l.notOffered.Load(),
	}
	result.count(records)
	result.countGoodput(records, l)
	costs := newCostTotals(records, e.fleet.Costs())
	result.Stages, result.AccountCosts = costs.services, costs.accounts
	result.InternalRetries = costs.retryRatio()
	result.Properties = e.properties(records, costs, result.Targets)
	return result
}

// count counts the requests sent after the warm-up by class, client account and
// second.
func (r *Result) count(records []record) {
	r.Seconds = make([]Second, (r.DurationMS+999)/1000)
	for i := range r.Seconds {
		r.Seconds[i].At = i
	}
	attempts := 0
	for _, v := range records {
		if !v.request.counted {
			continue
		}
		attempts += v.attempts
		r.Total = r.Total.with(v)
		r.Classes[v.request.class] = r.Classes[v.request.class].with(v)
		r.Accounts[v.request.account] = r.Accounts[v.request.account].with(v)
		r.countSecond(v)
		if !v.succeeded {
			r.Failures[v.failure.String()+" "+v.verdict.String()]++
		}
	}
	if r.Total.Requests > 0 {
		r.ClientRetries = float64(attempts-r.Total.Requests) / float64(r.Total.Requests)
	}
}

// countGoodput sets the goodput from the responses that arrived after the
// warm-up and before the end of the script, including those to requests that
// were sent during the warm-up.
func (r *Result) countGoodput(records []record, l *loadGenerator) {
	duration := milliseconds(r.DurationMS)
	responses, work := 0, 0.0
	for _, v := range records {
		end := v.start + v.latency
		if !v.attained() || end < 0 || end >= duration {
			continue
		}
		responses++
		work += pipelineSeconds(l.config, v.request.pipeline, l.bottleneck.service)
	}
	r.AttainedPerSecond = float64(responses) / duration.Seconds()
	r.GoodputShare = work / (l.bottleneck.slots * duration.Seconds())
}

func (r *Result) countSecond(v record) {
	i := int(v.start / time.Second)
	if i < 0 || i >= len(r.Seconds) {
		return
	}
	r.Seconds[i].Requests++
	if v.attained() {
		r.Seconds[i].Attained++
	}
}
