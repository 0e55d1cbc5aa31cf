package clemmetric

// Names of the metrics. The Prometheus text format adds the prefix "clementine_".
const (
	Requests             = "requests"
	RequestTime          = "request_time"
	Active               = "active"
	Running              = "running"
	Waiting              = "waiting"
	Load                 = "load"
	Slowness             = "slowness"
	Generation           = "generation"
	Hosts                = "hosts"
	Draining             = "draining"
	MemoryBytes          = "memory_bytes"
	Goroutines           = "goroutines"
	CPUSeconds           = "cpu_seconds"
	Attempts             = "attempts"
	FirstEventTime       = "first_event_time"
	StoreCalls           = "store_calls"
	BackendServers       = "backend_servers"
	ServerStates         = "server_states"
	PrefillSeconds       = "prefill_seconds"
	LogLinesDropped      = "log_lines_dropped"
	ConfigurationVersion = "configuration_version"
	AddedTime            = "added_time"
	ReadySeconds         = "ready_seconds"
	Quarantines          = "quarantines"
	Evacuations          = "evacuations"
	IntakeRefused        = "intake_refused"
	IntakeBytes          = "intake_bytes"
	IntakeConnections    = "intake_connections"
	Queued               = "queued"
	WaitTime             = "wait_time"
	Refusals             = "refusals"
)

// Info describes a metric.
type Info struct {
	name   string
	kind   string
	role   string
	labels string
	doc    string
}

// Name returns the metric's name.
func (i Info) Name() string { return i.name }

// Kind returns "counter", "gauge" or "summary".
func (i Info) Kind() string { return i.kind }

// Role returns the only role that has the metric, or "" if every role has it.
func (i Info) Role() string { return i.role }

// Labels returns the names of the labels, separated by commas.
func (i Info) Labels() string { return i.labels }

// Doc returns the help text of the metric.
func (i Info) Doc() string { return i.doc }

// Catalogue returns all metrics.
func Catalogue() []Info { return append([]Info(nil), catalogue...) }

var catalogue = []Info{
	{Requests, kindCounter, "entry", "kind", "Callers' requests that ended, by ok or the error kind that the caller was told. Fronts add route, the kind of route, and class, the rank of the organisation."},
	{RequestTime, kindSummary, "entry", "", "Time from the start of a caller's request to its end, in seconds."},
	{Active, kindGauge, "entry", "", "Callers' requests in progress."},
	{Running, kindGauge, "sidecar", "", "Requests that run on the backend server."},
	{Waiting, kindGauge, "sidecar", "", "Requests in the sidecar's queue."},
	{Load, kindGauge, "sidecar", "", "Work admitted to the backend server, in estimated tokens."},
	{Slowness, kindGauge, "sidecar", "", "Time per token relative to the median of the pool; 0 if unknown, above 1 if slower."},
	{Generation, kindGauge, "", "", "Generation of the configuration in force."},
	{Hosts, kindGauge, "", "", "Hosts that take part, as this process sees them."},
	{Draining, kindGauge, "", "", "1 while the process takes no new work, else 0."},
	{MemoryBytes, kindGauge, "", "", "Memory that the process got from the operating system, in bytes."},
	{Goroutines, kindGauge, "", "", "Goroutines of the process."},
	{Attempts, kindCounter, "front", "service,server,outcome", "Requests sent to backend servers, by what came of them. Servers beyond the first 256 count as other."},
	{AddedTime, kindSummary, "front", "", "Time from the head of a request to its first sending to a backend server, in seconds."},
	{Quarantines, kindGauge, "front", "", "Prompt parts that are quarantined because they crash backend servers."},
	{Evacuations, kindGauge, "front", "", "Data centres that the operator has evacuated, as this entry knows them."},
	{ReadySeconds, kindGauge, "front", "", "Time from the start of the process to its readiness, in seconds."},
	{FirstEventTime, kindSummary, "front", "route", "Time from the start of a request to the first event of its stream, in seconds."},
	{StoreCalls, kindCounter, "front", "", "Calls to the platform's store."},
	{BackendServers, kindGauge, "front", "", "Backend servers listed."},
	{PrefillSeconds, kindGauge, "front", "service", "Time, in seconds, that the engines of a service take to read 1,000 prompt tokens, as used for the choice of a server."},
	{ServerStates, kindGauge, "front", "state", "Backend servers by the state that decides whether they take new requests; open servers take all."},
	{LogLinesDropped, kindGauge, "front", "", "Log lines dropped because the reader of standard output stood still."},
	{ConfigurationVersion, kindGauge, "front", "", "Version of the platform's configuration in force."},
	{IntakeRefused, kindCounter, "", "listener,reason", "Heads, bodies and connections refused, by the limit: head (bytes), time, memory, connections."},
	{IntakeBytes, kindGauge, "", "", "Memory that requests hold of the budget, in bytes; 0 without a budget."},
	{IntakeConnections, kindGauge, "front", "", "Open connections of clients."},
	{Queued, kindGauge, "front", "", "Requests that wait in the entry for a place at a server."},
	{WaitTime, kindSummary, "front", "service", "Time for which requests waited in the entry for a place at a server, in seconds, of those that waited."},
	{Refusals, kindCounter, "front", "service,reason", "Requests refused because a service was short of capacity: full (others go first), held (no place within an eighth of the latency target), late, expired (deadline) or bound (too many wait)."},
	{CPUSeconds, kindGauge, "", "", "Processor time that the process used, in seconds."},
}

// docOf returns the help text of a metric, or "" if it is not in the catalogue.
func docOf(name string) string {
	for _, info := range catalogue {
		if info.name == name {
			return info.doc
		}
	}
	return ""
}
