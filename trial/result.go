package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotworks/emul"
	"bergamotworks/fault"
)

// Result is what a run measured.
type Result struct {
	Script     string  `json:"script"`
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Seed       uint64  `json:"seed"`
	Capacity   float64 `json:"capacity_per_second"`
	// OfferedPerSecond is the script's load share of the capacity.
	OfferedPerSecond float64 `json:"offered_per_second"`
	// AttainedPerSecond is the rate of answers, whole and in time, that came
	// within the tallied time.
	AttainedPerSecond float64 `json:"attained_per_second"`
	// Bottleneck is the service that is full first. GoodputShare is the work of
	// those answers at that service, at the usual speed, as a share of what its
	// warm targets can do in the time. It does not depend on which requests
	// were answered.
	Bottleneck   string  `json:"bottleneck"`
	GoodputShare float64 `json:"goodput_share"`

	DurationMS    int64             `json:"duration_ms"`
	Total         Counts            `json:"total"`
	Classes       map[string]Counts `json:"classes"`
	Accounts      map[string]Counts `json:"accounts"`
	Failures      map[string]int    `json:"failures"` // By kind and verdict.
	Latency       Percentiles       `json:"latency"`
	FirstToken    Percentiles       `json:"first_token"`
	BetweenTokens Percentiles       `json:"between_tokens"`
	Stages        map[string]Cost   `json:"stages"`
	AccountCosts  map[string]Cost   `json:"account_costs"`
	// CallerRetries and InternalRetries are per first attempt.
	ClientRetries   float64         `json:"caller_retries"`
	InternalRetries float64         `json:"internal_retries"`
	Targets         emul.Snapshot   `json:"targets"`
	CostComparison  *CostComparison `json:"accounted,omitempty"`
	Properties      []Property      `json:"properties"`
	Seconds         []Second        `json:"seconds"`
	Marks           []Mark          `json:"marks"`
	// Errors lists events that could not be carried out.
	Errors []string `json:"errors,omitempty"`
	// NotOffered counts requests that were not sent because too many callers waited.
	NotOffered int64 `json:"not_offered"`
}

// Passed reports whether every property held and every event was carried out.
func (r Result) Passed() bool {
	for _, v := range r.Properties {
		if !v.Pass {
			return false
		}
	}
	return len(r.Errors) == 0
}

// Counts counts requests by their end.
type Counts struct {
	Requests   int `json:"requests"`
	Attained   int `json:"attained"` // Whole and in time.
	Late       int `json:"late"`
	Wrong      int `json:"wrong"`
	NotRun     int `json:"not_run"`      // Refused with "not run".
	MayHaveRun int `json:"may_have_run"` // Ended without a known outcome.
}

// Attainment returns the share of requests that were whole and in time, 1 if
// there were none.
func (t Counts) Attainment() float64 {
	if t.Requests == 0 {
		return 1
	}
	return float64(t.Attained) / float64(t.Requests)
}

func (t Counts) with(r record) Counts {
	t.Requests++
	switch {
	case r.answered && r.wrong:
		t.Wrong++
	case r.attained():
		t.Attained++
	case r.answered:
		t.Late++
	case r.verdict == fault.NotRun:
		t.NotRun++
	default:
		t.MayHaveRun++
	}
	return t
}

// Percentiles of a time in milliseconds.
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

// Second is what became of the requests that began in one second.
type Second struct {
	At       int `json:"at_s"`
	Requests int `json:"requests"`
	Attained int `json:"attained"`
}

// result gathers the measurements.
func (e *experiment) result() Result {
	l := e.load
	l.tally.mutex.Lock()
	defer l.tally.mutex.Unlock()
	records := l.tally.records
	result := Result{
		Script: l.script.Name, Deployment: l.script.Deployment, Policy: e.options.Policy, Seed: l.script.Seed,
		Capacity: l.narrow.rate, OfferedPerSecond: l.script.LoadShare * l.narrow.rate,
		Bottleneck: l.narrow.service, DurationMS: l.script.DurationMS,
		Classes: make(map[string]Counts), Accounts: make(map[string]Counts), Failures: make(map[string]int),
		Latency: percentiles(l.tally.latency), FirstToken: percentiles(l.tally.first),
		BetweenTokens: percentiles(l.tally.between), Targets: e.fleet.Snapshot(),
		Marks: e.operator.marks, Errors: e.operator.errors, NotOffered: l.dropped.Load(),
	}
	result.count(records)
	result.countGoodput(records, l)
	ledger := newAccounting(records, e.fleet.Costs())
	result.Stages, result.AccountCosts = ledger.services, ledger.accounts
	result.InternalRetries = ledger.retryShare()
	result.Properties = e.properties(records, ledger, result.Targets)
	return result
}

// count tallies the records by class, account and second.
func (r *Result) count(records []record) {
	r.Seconds = make([]Second, (r.DurationMS+999)/1000)
	for i := range r.Seconds {
		r.Seconds[i].At = i
	}
	attempts := 0
	for _, v := range records {
		if !v.planned.tallied {
			continue
		}
		attempts += v.attempts
		r.Total = r.Total.with(v)
		r.Classes[v.planned.class] = r.Classes[v.planned.class].with(v)
		r.Accounts[v.planned.account] = r.Accounts[v.planned.account].with(v)
		r.countSecond(v)
		if !v.answered {
			r.Failures[v.failure.String()+" "+v.verdict.String()]++
		}
	}
	if r.Total.Requests > 0 {
		r.ClientRetries = float64(attempts-r.Total.Requests) / float64(r.Total.Requests)
	}
}

// countGoodput adds up the answers that came within the tallied time, those to
// requests of the warm-up included.
func (r *Result) countGoodput(records []record, l *load) {
	duration := milliseconds(r.DurationMS)
	answers, work := 0, 0.0
	for _, v := range records {
		end := v.at + v.latency
		if !v.attained() || end < 0 || end >= duration {
			continue
		}
		answers++
		work += pipelineSeconds(l.config, v.planned.pipeline, l.narrow.service)
	}
	r.AttainedPerSecond = float64(answers) / duration.Seconds()
	r.GoodputShare = work / (l.narrow.slots * duration.Seconds())
}

func (r *Result) countSecond(v record) {
	i := int(v.at / time.Second)
	if i < 0 || i >= len(r.Seconds) {
		return
	}
	r.Seconds[i].Requests++
	if v.attained() {
		r.Seconds[i].Attained++
	}
}
