package clempool

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// BenchmarkAcquire measures the choice of a server at the size of the largest service that
// the system is built for.
func BenchmarkAcquire(b *testing.B) {
	for _, kind := range []string{"chat", "plain", "chat, half cold", "plain, half cold"} {
		b.Run(kind, func(b *testing.B) {
			d := newEntries(1, 0, 8)[0]
			isCold := strings.HasSuffix(kind, "cold")
			if isCold {
				d = newColdEntries(29)[0]
			}
			for n := range 3000 {
				remaining := time.Duration(0)
				if isCold && n%2 == 0 {
					remaining = time.Hour
				}
				d.PutRow(NewRecord(RecordConfig{
					ID: fmt.Sprintf("s%04d", n), Service: "pool", Address: fmt.Sprintf("10.1.%d.%d:80", n/250, n%250), Slots: 128,
					Cold: ColdStatement{IsStated: isCold, Remaining: remaining},
				}), epoch, epoch)
			}
			benchmarkAcquire(b, d, kind)
		})
	}
}

// benchmarkAcquire takes places and gives them back, with 500 at a time.
func benchmarkAcquire(b *testing.B, d *Directory, kind string) {
	leases := make([]*Lease, 500)
	now := epoch
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(100 * time.Microsecond)
		r := Request{Service: "pool"}
		if strings.HasPrefix(kind, "chat") {
			r = prompt(uint64(n%4000), 1000)
		}
		if old := leases[n%len(leases)]; old != nil {
			old.Release(OutcomeServed, nil, now)
		}
		lease, err := d.Acquire(r, now)
		if err != nil {
			b.Fatal(err)
		}
		lease.ResponseStarted()
		leases[n%len(leases)] = lease
	}
}
