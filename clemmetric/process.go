package clemmetric

import (
	"runtime/metrics"
	"syscall"
	"time"
)

const (
	memorySample    = "/memory/classes/total:bytes"
	releasedSample  = "/memory/classes/heap/released:bytes"
	goroutineSample = "/sched/goroutines:goroutines"
)

// ObserveProcess adds metrics of the process from the Go runtime and the operating
// system: memory, goroutines and processor time.
func (r *Registry) ObserveProcess() {
	r.OnScrape(func() {
		samples := []metrics.Sample{{Name: memorySample}, {Name: releasedSample}, {Name: goroutineSample}}
		metrics.Read(samples)
		r.Gauge(MemoryBytes).Update(int64(samples[0].Value.Uint64() - samples[1].Value.Uint64()))
		r.Gauge(Goroutines).Update(int64(samples[2].Value.Uint64()))
		r.GaugeFloat(CPUSeconds).Update(processorTime().Seconds())
	})
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
