package clemfront

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

// rowStore is a store in memory.
type rowStore struct {
	mu       sync.Mutex
	sections map[clementineturn.Section]map[string]clementineturn.Change
	version  uint64
	changed  chan struct{}
}

func newRowStore() *rowStore {
	return &rowStore{sections: map[clementineturn.Section]map[string]clementineturn.Change{}, changed: make(chan struct{})}
}

func (s *rowStore) Read(ctx context.Context, section clementineturn.Section) (clementineturn.Batch, error) {
	return s.Follow(ctx, section, 0, 0)
}

func (s *rowStore) Follow(ctx context.Context, section clementineturn.Section, after uint64, wait time.Duration) (clementineturn.Batch, error) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		version, changed := s.version, s.changed
		changes := slices.DeleteFunc(slices.Collect(maps.Values(s.sections[section])), func(c clementineturn.Change) bool {
			return c.Version() <= after || after == 0 && c.Removed()
		})
		s.mu.Unlock()
		if len(changes) > 0 || wait == 0 {
			return clementineturn.NewBatch(changes, version), nil
		}
		select {
		case <-changed:
		case <-timeout:
			return clementineturn.NewBatch(nil, version), nil
		case <-ctx.Done():
			return clementineturn.Batch{}, clementineturn.Errorf(clementineturn.KindUnavailable, "store: %w", ctx.Err())
		}
	}
}

func (s *rowStore) Write(_ context.Context, section clementineturn.Section, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if s.sections[section] == nil {
		s.sections[section] = map[string]clementineturn.Change{}
	}
	s.sections[section][key] = clementineturn.NewChange(clementineturn.ChangeConfig{Key: key, Value: value, Version: s.version, Removed: value == nil})
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (s *rowStore) Remove(ctx context.Context, section clementineturn.Section, key string) error {
	return s.Write(ctx, section, key, nil)
}
