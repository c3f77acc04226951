package note

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/script"
)

// applyCase is a release note that is applied to a shipped one, and the
// outcome.
type applyCase struct {
	Base string          `json:"base"`
	Note json.RawMessage `json:"note"`
	Text string          `json:"text"` // Used instead of Note if it is not valid JSON.
	// Want is the error; Differences are the changes that the note makes.
	Want        string       `json:"want"`
	Differences []Difference `json:"differences"`
}

func TestNotes(t *testing.T) {
	script.Run(t, "testdata/notes/*.json", func(t *testing.T, data map[string]applyCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) {
				base := shippedConfig(t, c.Base)
				before := encode(base)
				after, err := c.apply(base)
				if diff := cmp.Diff(c.Want, errorText(err)); diff != "" {
					t.Error(diff)
				}
				if err == nil {
					if diff := cmp.Diff(compactValues(t, c.Differences), Diff(base, after)); diff != "" {
						t.Error(diff)
					}
				}
				if diff := cmp.Diff(string(before), string(encode(base))); diff != "" {
					t.Errorf("Apply modified the base: %s", diff)
				}
			})
		}
	})
}

func (c applyCase) apply(base Config) (Config, error) {
	text := []byte(c.Text)
	if c.Text == "" {
		text = c.Note
	}
	n, err := Decode(text)
	if err != nil {
		return Config{}, err
	}
	return Apply(base, n)
}

func shippedConfig(t *testing.T, name string) Config {
	t.Helper()
	if name == "" {
		return Config{}
	}
	n, err := Shipped(name)
	if err != nil {
		t.Fatal(err)
	}
	config, err := Apply(Config{}, n)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return fault.From(err).Error()
}

// compactValues returns the differences with compact JSON values.
func compactValues(t *testing.T, differences []Difference) []Difference {
	t.Helper()
	var result []Difference
	for _, d := range differences {
		for _, value := range []*json.RawMessage{&d.Before, &d.After} {
			var text bytes.Buffer
			if len(*value) == 0 {
				continue
			}
			if err := json.Compact(&text, *value); err != nil {
				t.Fatal(err)
			}
			*value = text.Bytes()
		}
		result = append(result, d)
	}
	return result
}

// shippedSummary describes what the deployment requires of a shipped note: numbers
// of objects, and the names of the must-finish classes and of the non-idempotent
// pipelines.
type shippedSummary struct {
	Domains       int            `json:"domains"`
	Accounts      int            `json:"accounts"`
	Targets       map[string]int `json:"targets"`
	Pipelines     map[string]int `json:"pipelines"` // Number of stages by pipeline.
	MustFinish    []string       `json:"must_finish"`
	NonIdempotent []string       `json:"non_idempotent"`
}

func TestShipped(t *testing.T) {
	script.Run(t, "testdata/shipped.json", func(t *testing.T, data map[string]shippedSummary) {
		for name, want := range data {
			s := shippedConfig(t, name).Sections
			got := shippedSummary{
				Domains:   len(s.Domains),
				Accounts:  len(s.Accounts),
				Targets:   map[string]int{},
				Pipelines: map[string]int{},
			}
			for _, target := range s.Targets {
				got.Targets[target.Service]++
			}
			for name, p := range s.Pipelines {
				got.Pipelines[name] = len(p.Stages)
			}
			for _, name := range unionNames(rawFields(s.Classes), nil) {
				if s.Classes[name].MustFinish {
					got.MustFinish = append(got.MustFinish, name)
				}
			}
			for _, name := range unionNames(rawFields(s.Pipelines), nil) {
				if !s.Pipelines[name].Idempotent() {
					got.NonIdempotent = append(got.NonIdempotent, name)
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
		}
	})
}

func rawFields(value any) map[string]json.RawMessage {
	fields, _ := decodeObject(encode(value))
	return fields
}

// FuzzDecode checks that a decoded note remains the same when it is encoded and
// decoded again, that a rejected one fails with the verdict NotRun, and that
// Apply returns only configurations that pass Check.
func FuzzDecode(f *testing.F) {
	for _, name := range ShippedNames() {
		text, err := shipped.ReadFile("shipped/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(`{"id":"a","base_revision":1,"changed":{"domains":{"north":{"state":"out_of_service"}}}}`))
	f.Add([]byte(`{"id":"a","base_revision":1,"withdrawn":{"targets":["llm-1","llm-1"]}}`))
	f.Add([]byte(`{"id":"a","id":"b","base_revision":1e3}`))
	f.Add([]byte(`{"id":null,"base_revision":"1"}`))
	f.Add([]byte(`[[[{"added":`))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := Decode(text)
		if err != nil {
			fe := fault.From(err)
			if fe.Verdict != fault.NotRun || fe.Kind != fault.Invalid && fe.Kind != fault.TooLarge {
				t.Fatalf("rejected with %s", fe)
			}
			return
		}
		again, err := Decode(encode(n))
		if err != nil {
			t.Fatalf("encoded note is rejected: %s", err)
		}
		if string(encode(n)) != string(encode(again)) {
			t.Fatal(cmp.Diff(n, again))
		}
		config, err := Apply(Config{}, n)
		if err == nil && Check(config) != nil {
			t.Fatal(Check(config))
		}
	})
}
