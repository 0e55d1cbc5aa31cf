package clementineturn

// versionNumberBits is the number of low bits of a version that hold its number. At a
// million writes a second it lasts for nine years; the bits above hold 65,535 eras.
const versionNumberBits = 48

// NewVersion returns the version of a store with the number in the era. The store numbers
// its writes, and goes back to earlier numbers when it is restored from a copy. Its era
// rises with each such restore, so that versions are ordered by the era first. In era 0
// versions are equal to their numbers. Errors: KindInvalid, which names what is out of
// range.
func NewVersion(era, number uint64) (uint64, error) {
	switch {
	case era >= 1<<(64-versionNumberBits):
		return 0, Invalid("era", "%d is too large", era)
	case number >= 1<<versionNumberBits:
		return 0, Invalid("version", "%d is too large", number)
	}
	return era<<versionNumberBits | number, nil
}

// VersionEra returns the era of a version.
func VersionEra(version uint64) uint64 { return version >> versionNumberBits }

// VersionNumber returns the number of a version within its era.
func VersionNumber(version uint64) uint64 { return version & (1<<versionNumberBits - 1) }
