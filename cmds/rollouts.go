package cmds

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"bergamotworks/canary"
)

// printRolloutsOf prints the rollouts that the given relay nodes know. It fails only if none
// of them responds, and prints the errors of the others.
func (a *app) printRolloutsOf(c adminClient, asJSON bool) error {
	if err := c.check(); err != nil {
		return err
	}
	statuses := []canary.Status{}
	var failed []error
	responses := 0
	for _, address := range c.addressList() {
		var known []canary.Status
		if err := c.call(address, "GET", "/v1/rollouts", nil, &known); err != nil {
			failed = append(failed, err)
			continue
		}
		responses++
		statuses = append(statuses, known...)
	}
	for i, err := range failed {
		if responses == 0 && i == len(failed)-1 {
			return err // It is printed by the caller.
		}
		fmt.Fprintln(a.stderr, "bergamotworks:", errorText(err))
	}
	if asJSON {
		return a.printJSON(statuses)
	}
	return printRollouts(a.stdout, statuses)
}

// printRollouts prints what each node knows of each order, and the evidence of the owners.
func printRollouts(out io.Writer, statuses []canary.Status) error {
	slices.SortFunc(statuses, func(a, b canary.Status) int {
		return cmp.Or(strings.Compare(a.Order.Service, b.Order.Service), strings.Compare(a.VM, b.VM))
	})
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tVERSION\tORDER\tSTATE\tVM\tPHASE\tSHARE\tSENT\tCANARIES\tOWNER\tGRANT AGE\tORDER AS OF")
	for _, s := range statuses {
		o := s.Order
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s ago\n", o.Service, o.Version, o.Revision, o.State, s.VM,
			s.Phase, percent(s.Share), s.Sent, s.Canaries, s.Owner, rounded(s.GrantAge), rounded(s.OperatorAge))
	}
	header := "\nSERVICE\tVERDICT\tREASON\tNODES\tSENT\tCANARIES\tNEW FAILED\tOLD FAILED\tEXCLUDED\tAGE\tDEADLINE\tLAST REPORT"
	for _, s := range statuses {
		e := s.Evidence
		if e == nil {
			continue
		}
		if header != "" {
			fmt.Fprintln(w, header)
			header = ""
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\tafter %s\t%s ago\n", s.Order.Service, e.Verdict, e.Reason, e.Nodes, e.Sent, e.Canaries,
			failures(e.New), failures(e.Old), cmp.Or(strings.Join(e.Excluded, ","), "none"), rounded(e.Age), s.Order.Span, rounded(e.ReportAge))
	}
	return w.Flush()
}

// failures returns the number of failures and of responses.
func failures(c canary.Counts) string { return fmt.Sprintf("%d of %d", c.Failures, c.Responses) }

func rounded(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
