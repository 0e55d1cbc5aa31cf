package clemsetting

import (
	"encoding/json"
	"errors"
	"flag"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

var update = flag.Bool("update", false, "write the golden files")

const operatorDigest = "5e884898da28047151d0e56f8dc6292773603d0d6aabbd62a11ef721d1542d8d"

func entryObject() map[string]any {
	return map[string]any{
		"role": "entry", "name": "entry-1", "region": "bengal", "centre": "kol-a", "listen": "10.0.0.1:8080",
		"platform": "http://10.0.9.1:9000/", "fleet": "0123456789abcdef",
	}
}

func sidecarObject() map[string]any {
	s := maps.Clone(entryObject())
	maps.Copy(s, map[string]any{"role": "sidecar", "name": "srv-1", "pool": "cribs", "backend": "http://127.0.0.1:8000"})
	return s
}

func parseObject(t *testing.T, object map[string]any) (*Settings, error) {
	t.Helper()
	data, err := json.Marshal(object)
	require.NoError(t, err)
	return Parse(data)
}

func TestDefaults(t *testing.T) {
	s, err := parseObject(t, entryObject())
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:8080", s.AdvertisedAddress())
	require.Equal(t, "http://10.0.9.1:9000", s.PlatformURL())
	require.Equal(t, "info", s.LogLevel())
	require.Equal(t, 10*time.Minute, s.GracePeriod())
	require.Equal(t, 2*time.Second, s.DrainDelay())
	require.EqualValues(t, 4<<20, s.MaxBodyBytes())
	require.Equal(t, 2*time.Minute, s.DefaultTimeout())
	require.Nil(t, s.TLS())
	require.Equal(t, 32, s.ClaimBuckets())
	require.Equal(t, 24*time.Hour, s.ClaimRetention())
	require.Zero(t, s.AnswerBufferBytes(), "a key of the other role")

	s, err = parseObject(t, sidecarObject())
	require.NoError(t, err)
	require.EqualValues(t, 16<<20, s.AnswerBufferBytes())
	require.Equal(t, 30*time.Second, s.Linger())
	require.Zero(t, s.MaxBodyBytes())
}

func TestGivenValues(t *testing.T) {
	object := entryObject()
	maps.Copy(object, map[string]any{
		"address": "10.0.0.2:80", "admin": "10.0.0.1:8081", "grace": "0s", "body": 1024,
		"operators": []any{map[string]any{"name": "ana", "digest": operatorDigest}},
		"claims":    map[string]any{"interval": "5ms"},
	})
	s, err := parseObject(t, object)
	require.NoError(t, err)
	require.Equal(t, "10.0.0.2:80", s.AdvertisedAddress())
	require.Equal(t, "10.0.0.1:8081", s.AdminAddress())
	require.Zero(t, s.GracePeriod())
	require.EqualValues(t, 1024, s.MaxBodyBytes())
	require.Equal(t, 5*time.Millisecond, s.ClaimInterval())
	require.Equal(t, 32, s.ClaimBuckets())
	require.Len(t, s.Operators(), 1)
	require.Equal(t, "ana", s.Operators()[0].Name())
	require.Len(t, s.Operators()[0].Digest(), 32)
}

// Each JSON file in testdata contains invalid settings, and the golden file
// with the same name contains the expected errors.
func TestValidationErrors(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			_, err := Read(file)
			require.Error(t, err)
			got := err.Error() + "\n"
			golden := strings.TrimSuffix(file, ".json") + ".golden"
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(got), 0o644))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), got)
		})
	}
}

func TestValidationErrorKinds(t *testing.T) {
	object := entryObject()
	object["grace"], object["port"] = "-1s", 1
	_, err := parseObject(t, object)
	require.True(t, clementineturn.IsKind(err, clementineturn.KindInvalid))
	var invalid *ValidationError
	require.True(t, errors.As(err, &invalid))
	require.Len(t, invalid.All(), 2)
	require.Equal(t, "grace", invalid.All()[0].Field())
	require.Equal(t, "port", invalid.All()[1].Field())
	_, err = Read("testdata/absent")
	require.True(t, clementineturn.IsKind(err, clementineturn.KindNotFound))
}

// A value of the wrong type is refused for every key, with an error that names
// the key's path.
func TestEveryKeyRefusesWrongType(t *testing.T) {
	for _, key := range Keys() {
		if strings.Contains(key.Path(), "[]") {
			continue
		}
		object := entryObject()
		if key.Role() == RoleSidecar {
			object = sidecarObject()
		}
		var wrong any = true
		if group, name, nested := strings.Cut(key.Path(), "."); nested {
			object[group] = map[string]any{name: wrong}
		} else {
			object[key.Path()] = wrong
		}
		_, err := parseObject(t, object)
		require.ErrorContains(t, err, key.Path()+": found true, allowed", key.Path())
	}
}

// Every default is an allowed value of its key.
func TestDefaultsInRange(t *testing.T) {
	for _, key := range Keys() {
		switch value := key.Default().(type) {
		case nil:
		case time.Duration:
			_, ok := checkDuration(key, value.String())
			require.True(t, ok, key.Path())
		case int64:
			require.True(t, value >= key.minValue && value <= key.maxValue, key.Path())
		case string:
			require.Contains(t, key.choices, value, key.Path())
		}
		require.NotEmpty(t, key.Doc(), key.Path())
	}
}

func TestErrorsHideSecrets(t *testing.T) {
	object := entryObject()
	object["fleet"] = "short-secret"
	object["operators"] = []any{map[string]any{"name": "ana", "digest": "plain-token-by-mistake"}}
	object["admin"] = "10.0.0.1:1"
	_, err := parseObject(t, object)
	require.ErrorContains(t, err, "fleet: found 12 characters")
	require.NotContains(t, err.Error(), "short-secret")
	require.NotContains(t, err.Error(), "plain-token")
}

func TestTooLarge(t *testing.T) {
	_, err := Parse(make([]byte, maxFileBytes+1))
	require.ErrorContains(t, err, "allowed are 1048576")
}

func TestFormatDuration(t *testing.T) {
	for d, want := range map[time.Duration]string{
		10 * time.Minute: "10m", 24 * time.Hour: "24h", 90 * time.Second: "1m30s", 20 * time.Millisecond: "20ms", 0: "0s", 10 * time.Second: "10s",
	} {
		require.Equal(t, want, FormatDuration(d))
	}
}

func FuzzParse(f *testing.F) {
	for _, object := range []map[string]any{entryObject(), sidecarObject()} {
		data, err := json.Marshal(object)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"claims":{"buckets":1e400},"operators":[{},null,[]],"tls":[]}`))
	f.Add([]byte("{\"role\":\"entry\",\"name\":\"\xff\"}"))
	f.Add([]byte(strings.Repeat("[", 100)))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil {
			require.Contains(t, []string{RoleEntry, RoleSidecar}, s.Role())
			require.GreaterOrEqual(t, len(s.FleetKey()), minSecretLength)
			return
		}
		var invalid *ValidationError
		require.True(t, errors.As(err, &invalid))
		require.NotEmpty(t, invalid.All())
	})
}
