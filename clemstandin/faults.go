package clemstandin

import (
	"net/http"
	"time"
)

// Faults are the faults to inject into one service of the platform, as sent to
// the /faults endpoint. The zero value injects none.
type Faults struct {
	// Delay is added before each call takes effect.
	Delay Duration `json:"delay"`
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// LostAnswers is the number of upcoming writes that take effect but get no
	// response.
	LostAnswers int `json:"lost"`
	// LateWrites is the number of upcoming writes that get no response and take
	// effect only after LateWriteDelay.
	LateWrites     int      `json:"late"`
	LateWriteDelay Duration `json:"after"`
	// MaxReadsPerSecond and MaxWritesPerSecond limit the calls; 0 means no limit.
	MaxReadsPerSecond  float64 `json:"reads"`
	MaxWritesPerSecond float64 `json:"writes"`
	// Lag is the age of the list of hosts that is served, at most one minute; the
	// other services ignore it.
	Lag Duration `json:"lag"`
}

func (f Faults) tableFaults() TableFaults {
	return TableFaults{
		Delay: time.Duration(f.Delay), Down: f.Down, LostAnswers: f.LostAnswers,
		LateWrites: f.LateWrites, LateWriteDelay: time.Duration(f.LateWriteDelay), MaxReadsPerSecond: f.MaxReadsPerSecond, MaxWritesPerSecond: f.MaxWritesPerSecond,
	}
}

// PlatformFaults are the faults to inject into each of the platform's services.
type PlatformFaults struct {
	Table   Faults `json:"table"`
	Objects Faults `json:"objects"`
	Weights Faults `json:"weights"`
	Hosts   Faults `json:"hosts"`
}

// CallCounts holds the numbers of reads and writes that a service accepted.
type CallCounts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// PlatformCallCounts holds the numbers of accepted calls of each service of the
// platform.
type PlatformCallCounts struct {
	Table   CallCounts `json:"table"`
	Objects CallCounts `json:"objects"`
	Weights CallCounts `json:"weights"`
	Hosts   CallCounts `json:"hosts"`
}

// Inject replaces the faults of all services.
func (p *Platform) Inject(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.table.Inject(faults.Table.tableFaults())
	p.objects.Inject(faults.Objects.tableFaults())
	p.weights.Inject(faults.Weights.tableFaults())
	p.hosts.Inject(faults.Hosts.tableFaults())
	p.hosts.SetLag(time.Duration(faults.Hosts.Lag))
}

// Counts returns the numbers of accepted calls. Calls that failed because a
// service was down or its rate limit exceeded do not count.
func (p *Platform) Counts() PlatformCallCounts {
	return PlatformCallCounts{
		Table: callCounts(p.table), Objects: callCounts(p.objects),
		Weights: callCounts(p.weights), Hosts: callCounts(p.hosts),
	}
}

func callCounts(service interface{ Counts() (reads, writes uint64) }) CallCounts {
	reads, writes := service.Counts()
	return CallCounts{Reads: reads, Writes: writes}
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, faults)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if err := readStrict(http.MaxBytesReader(w, r.Body, maxFaultsBytes), &faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.Inject(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Counts())
}
