package clemspread

import (
	"maps"

	clementineturn "github.com/clementineturn/clementineturn"
)

// storeCopy is the content of a store at one time.
type storeCopy struct {
	sections map[clementineturn.Section]map[string]clementineturn.Change
	version  uint64
}

func (s *fakeStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := storeCopy{sections: map[clementineturn.Section]map[string]clementineturn.Change{}, version: s.version}
	for section, rows := range s.sections {
		copied.sections[section] = maps.Clone(rows)
	}
	return copied
}

// restore sets the content to that of a copy, in the next era.
func (s *fakeStore) restore(from storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := clementineturn.VersionEra(s.version) + 1
	inEra := func(version uint64) uint64 {
		version, err := clementineturn.NewVersion(era, clementineturn.VersionNumber(version))
		if err != nil {
			panic(err)
		}
		return version
	}
	s.version = inEra(from.version)
	s.sections = map[clementineturn.Section]map[string]clementineturn.Change{}
	for section, rows := range from.sections {
		s.sections[section] = map[string]clementineturn.Change{}
		for key, row := range rows {
			s.sections[section][key] = clementineturn.NewChange(clementineturn.ChangeConfig{
				Key: key, Value: row.Value(), Version: inEra(row.Version()), Removed: row.Removed(),
			})
		}
	}
}
