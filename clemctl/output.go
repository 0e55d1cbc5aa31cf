package clemctl

import (
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemwire"
)

// column is a column in the output of the list command.
type column struct {
	title string
	value func(*clemwire.Entity) string
}

// columns are the columns of each kind besides name and generation.
var columns = map[string][]column{
	"organisation": {
		{"WEIGHT", func(e *clemwire.Entity) string { return fmt.Sprint(e.GetOrganisation().GetWeight()) }},
		{"QUEUE", func(e *clemwire.Entity) string { return fmt.Sprint(e.GetOrganisation().GetQueue()) }},
		{"KEYS", func(e *clemwire.Entity) string { return keyNames(e.GetOrganisation().GetKeys()) }},
		{"OBJECTIVE", func(e *clemwire.Entity) string { return formatObjective(e.GetOrganisation().GetObjective()) }},
	},
	"pool": {
		{"KIND", func(e *clemwire.Entity) string { return enumName(e.GetPool().GetKind().String(), "POOL_KIND_") }},
		{"MODEL", func(e *clemwire.Entity) string { return orDash(e.GetPool().GetModel()) }},
		{"BOUND", func(e *clemwire.Entity) string { return formatNumber(e.GetPool().GetBound()) }},
		{"SLOTS", func(e *clemwire.Entity) string { return fmt.Sprint(e.GetPool().GetSlots()) }},
		{"LONG", func(e *clemwire.Entity) string {
			return fmt.Sprintf("%d/%s", e.GetPool().GetLongCost(), formatNumber(e.GetPool().GetLongShare()))
		}},
		{"HEDGE", func(e *clemwire.Entity) string { return formatNumber(e.GetPool().GetHedge()) }},
		{"VERSION", func(e *clemwire.Entity) string { return orDash(e.GetPool().GetVersion()) }},
		{"OBJECTIVE", func(e *clemwire.Entity) string { return formatObjective(e.GetPool().GetObjective()) }},
	},
	"engine": {
		{"FENCING", func(e *clemwire.Entity) string { return strconv.FormatBool(e.GetEngine().GetFencing()) }},
	},
	"service": {
		{"POOL", func(e *clemwire.Entity) string { return e.GetService().GetPool() }},
	},
	"rule": {
		{"SERVICE", func(e *clemwire.Entity) string { return e.GetRule().GetService() }},
		{"CALL", func(e *clemwire.Entity) string { return e.GetRule().GetCall() }},
		{"MODE", func(e *clemwire.Entity) string { return enumName(e.GetRule().GetMode().String(), "MODE_") }},
		{"TIMEOUT", func(e *clemwire.Entity) string { return formatDuration(e.GetRule().GetTimeout()) }},
	},
	"drain": {},
}

// writeTable writes rows in aligned columns. It replaces unprintable characters,
// since names of hosts and calls may be untrusted.
func (s *session) writeTable(titles []string, rows [][]string) {
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(titles, "\t"))
	for _, row := range rows {
		for i := range row {
			row[i] = replaceUnprintable(row[i])
		}
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

func (s *session) writeChange(r *clemwire.ChangeResponse) {
	if s.json {
		s.writeJSON(s.Out, r)
		return
	}
	fmt.Fprintf(s.Out, "generation %d\n", r.GetGeneration())
}

func (s *session) writeKey(r *clemwire.AddKeyResponse) {
	if s.json {
		s.writeJSON(s.Out, r)
		return
	}
	fmt.Fprintf(s.Out, "generation %d\nkey %s\n", r.GetGeneration(), r.GetSecret())
}

func (s *session) writeList(r *clemwire.ListResponse) {
	if s.json {
		s.writeJSON(s.Out, r)
		return
	}
	extra := columns[s.arguments[argKind]]
	titles := []string{"NAME", "GENERATION"}
	for _, c := range extra {
		titles = append(titles, c.title)
	}
	var rows [][]string
	for _, entity := range r.GetEntities() {
		row := []string{clemconfig.Name(entity), fmt.Sprint(clemconfig.Generation(entity))}
		for _, c := range extra {
			row = append(row, c.value(entity))
		}
		rows = append(rows, row)
	}
	s.writeTable(titles, rows)
}

func (s *session) writeGenerations(r *clemwire.GenerationsResponse) {
	if s.json {
		s.writeJSON(s.Out, r)
		return
	}
	var rows [][]string
	for _, p := range r.GetProcesses() {
		rows = append(rows, []string{
			p.GetNode(), p.GetRole(), fmt.Sprint(p.GetGeneration()), fmt.Sprint(p.GetIncarnation()),
			strconv.FormatBool(p.GetReady()), strconv.FormatBool(p.GetDraining()),
		})
	}
	s.writeTable([]string{"PROCESS", "ROLE", "GENERATION", "INCARNATION", "READY", "DRAINING"}, rows)
	fmt.Fprintf(s.Out, "newest generation %d\n", r.GetGeneration())
	s.writeSilent(r.GetSilent())
}

func (s *session) writeBurn(r *clemwire.BurnResponse) {
	if s.json {
		s.writeJSON(s.Out, r)
		return
	}
	var rows [][]string
	for _, l := range r.GetLines() {
		rows = append(rows, []string{
			l.GetOrganisation(), orDash(l.GetPool()), l.GetObjective(), formatNumber(l.GetTarget()), formatDuration(l.GetWindow()),
			fmt.Sprint(l.GetTotal()), fmt.Sprint(l.GetBad()),
			strconv.FormatFloat(l.GetBurn(), 'f', 2, 64), strconv.FormatFloat(100*l.GetLeft(), 'f', 1, 64) + "%",
		})
	}
	s.writeTable([]string{"ORGANISATION", "POOL", "OBJECTIVE", "TARGET", "WINDOW", "TOTAL", "BAD", "BURN", "LEFT"}, rows)
	s.writeSilent(r.GetSilent())
}

func (s *session) writeSilent(silent []string) {
	for _, host := range silent {
		fmt.Fprintf(s.Out, "no answer from %s\n", replaceUnprintable(host))
	}
}

func (s *session) writeClaim(r *clemwire.ShowClaimResponse) {
	if s.json {
		s.writeJSON(s.Out, r)
		return
	}
	record, claim := r.GetRecord(), r.GetRecord().GetClaim()
	s.writeTable([]string{"FIELD", "VALUE"}, [][]string{
		{"organisation", claim.GetOrganisation()},
		{"key", claim.GetKey()},
		{"state", enumName(record.GetState().String(), "CLAIM_STATE_")},
		{"request", claim.GetRequest()},
		{"server", claim.GetServer()},
		{"incarnation", fmt.Sprint(claim.GetIncarnation())},
		{"token", claim.GetToken()},
		{"time", claim.GetTime().AsTime().Format(time.RFC3339)},
		{"author", orDash(record.GetAuthor())},
		{"answer", formatAnswer(record.GetOutcome())},
	})
}

func formatAnswer(o *clemwire.Outcome) string {
	if o == nil {
		return "-"
	}
	return strings.TrimSpace(fmt.Sprintf("%d, %d bytes %s", o.GetStatus(), len(o.GetBody()), o.GetMedia()))
}

func keyNames(keys []*clemwire.Key) string {
	names := make([]string, len(keys))
	for i, key := range keys {
		names[i] = key.GetName()
	}
	return orDash(strings.Join(names, ","))
}

func formatObjective(o *clemwire.Objective) string {
	if o == nil {
		return "-"
	}
	return fmt.Sprintf("%s; %s for %s", formatNumber(o.GetAvailability()), formatDuration(o.GetFirst()), formatNumber(o.GetShare()))
}

func formatDuration(d *durationpb.Duration) string {
	if d == nil {
		return "-"
	}
	return d.AsDuration().String()
}

func enumName(name, prefix string) string { return strings.ToLower(strings.TrimPrefix(name, prefix)) }

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func replaceUnprintable(text string) string {
	return strings.Map(func(r rune) rune {
		if strconv.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
}
