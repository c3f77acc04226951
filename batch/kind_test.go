package batch_test

import "bergamotworks/fault"

// kindOf returns the kind and verdict of an error as one word each.
func kindOf(err error) string {
	e := fault.From(err)
	return e.Kind.String() + " " + e.Verdict.String()
}
