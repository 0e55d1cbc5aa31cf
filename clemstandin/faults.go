package clemstandin

import (
	"net/http"
	"time"
)

// Faults are the faults of one service of the platform, in their JSON form.
type Faults struct {
	// Delay is added before each call takes effect.
	Delay Duration `json:"delay"`
	// Down refuses every call.
	Down bool `json:"down"`
	// Lost is the number of coming writes that take effect and get no answer.
	Lost int `json:"lost"`
	// Late is the number of coming writes that get no answer and take effect
	// only after the time After.
	Late  int      `json:"late"`
	After Duration `json:"after"`
	// Reads and Writes are the most calls a second; 0 sets no limit.
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
	// Lag is the time by which the list of hosts lags; other services ignore it.
	Lag Duration `json:"lag"`
}

func (f Faults) table() TableFaults {
	return TableFaults{
		Delay: time.Duration(f.Delay), Down: f.Down, LostAnswers: f.Lost,
		LateWrites: f.Late, Late: time.Duration(f.After), Reads: f.Reads, Writes: f.Writes,
	}
}

// PlatformFaults are the faults of the platform's services.
type PlatformFaults struct {
	Table   Faults `json:"table"`
	Objects Faults `json:"objects"`
	Weights Faults `json:"weights"`
	Hosts   Faults `json:"hosts"`
}

// Count is the number of calls that a service took.
type Count struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// PlatformCounts are the calls that the platform's services took.
type PlatformCounts struct {
	Table   Count `json:"table"`
	Objects Count `json:"objects"`
	Weights Count `json:"weights"`
	Hosts   Count `json:"hosts"`
}

// Inject replaces the faults of every service.
func (p *Platform) Inject(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.table.Inject(faults.Table.table())
	p.objects.Inject(faults.Objects.table())
	p.weights.Inject(faults.Weights.table())
	p.hosts.Inject(faults.Hosts.table())
	p.hosts.Lag(time.Duration(faults.Hosts.Lag))
}

// Counts returns the calls that passed the faults.
func (p *Platform) Counts() PlatformCounts {
	return PlatformCounts{
		Table: count(p.table), Objects: count(p.objects),
		Weights: count(p.weights), Hosts: count(p.hosts),
	}
}

func count(service interface{ Counts() (reads, writes uint64) }) Count {
	reads, writes := service.Counts()
	return Count{Reads: reads, Writes: writes}
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, faults)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if err := readStrict(http.MaxBytesReader(w, r.Body, maxFaults), &faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.Inject(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Counts())
}
