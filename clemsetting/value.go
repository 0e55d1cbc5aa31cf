package clemsetting

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// valueChecks holds a function for each type of value. It returns the value as
// the accessors of Settings return it, and whether the value is valid.
// Operators and groups are validated by checkOperators and checkGroup.
var valueChecks = map[Kind]func(key Key, value any) (any, bool){
	KindName:     checkName,
	KindChoice:   checkChoice,
	KindListen:   checkListen,
	KindAddress:  checkAddress,
	KindURL:      checkURL,
	KindSecret:   checkSecret,
	KindDigest:   checkDigest,
	KindFile:     checkFile,
	KindDuration: checkDuration,
	KindInteger:  checkInteger,
}

// Allowed returns a description of the allowed values, for errors and for the
// generated page of settings.
func (k Key) Allowed() string {
	switch k.kind {
	case KindName:
		return "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
	case KindChoice:
		return strings.Join(k.choices, " or ")
	case KindListen:
		return "an IP address and port, as 127.0.0.1:8080"
	case KindAddress:
		return "an IP address that others reach and a port above 0"
	case KindURL:
		return "an http or https URL with a host and no query"
	case KindSecret:
		return fmt.Sprintf("%d to %d printable ASCII characters without spaces", k.minValue, k.maxValue)
	case KindDigest:
		return "64 hexadecimal digits"
	case KindFile:
		return "the path of a readable PEM file"
	case KindDuration:
		return fmt.Sprintf("a duration in quotes, %s to %s", FormatDuration(time.Duration(k.minValue)), formatMax(k))
	case KindInteger:
		return fmt.Sprintf("an integer, %d to %d", k.minValue, k.maxValue)
	case KindOperators:
		return "a list of objects"
	}
	return "an object"
}

func formatMax(k Key) string {
	const year = 365 * 24 * time.Hour
	if time.Duration(k.maxValue) > 100*year {
		return "any length"
	}
	return FormatDuration(time.Duration(k.maxValue))
}

// FormatDuration formats a duration as in a settings file: like its String
// method, but without zero minutes and seconds after larger units, as in "10m".
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// describeRefused describes an invalid value. It does not show secrets and
// digests, since errors are printed to terminals and logs.
func describeRefused(key Key, value any) string {
	text, ok := value.(string)
	if ok && (key.kind == KindSecret || key.kind == KindDigest) {
		return fmt.Sprintf("%d characters", len(text))
	}
	return describeValue(value)
}

func checkName(_ Key, value any) (any, bool) {
	text, ok := value.(string)
	return text, ok && namePattern.MatchString(text)
}

func checkChoice(key Key, value any) (any, bool) {
	text, ok := value.(string)
	return text, ok && slices.Contains(key.choices, text)
}

func checkListen(_ Key, value any) (any, bool) {
	text, _ := value.(string)
	_, err := netip.ParseAddrPort(text)
	return text, err == nil
}

func checkAddress(_ Key, value any) (any, bool) {
	text, _ := value.(string)
	address, err := netip.ParseAddrPort(text)
	return text, err == nil && address.Port() > 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
}

func checkURL(_ Key, value any) (any, bool) {
	text, _ := value.(string)
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.RawQuery != "" || parsed.Fragment != "" || parsed.User != nil {
		return nil, false
	}
	return strings.TrimSuffix(text, "/"), parsed.Scheme == "http" || parsed.Scheme == "https"
}

func checkSecret(key Key, value any) (any, bool) {
	text, _ := value.(string)
	for _, r := range text {
		if r <= ' ' || r > '~' {
			return nil, false
		}
	}
	return text, int64(len(text)) >= key.minValue && int64(len(text)) <= key.maxValue
}

func checkDigest(_ Key, value any) (any, bool) {
	text, _ := value.(string)
	digest, err := hex.DecodeString(text)
	return digest, err == nil && len(digest) == sha256.Size
}

func checkFile(_ Key, value any) (any, bool) {
	text, _ := value.(string)
	info, err := os.Stat(text)
	return text, err == nil && info.Mode().IsRegular()
}

func checkDuration(key Key, value any) (any, bool) {
	text, _ := value.(string)
	d, err := time.ParseDuration(text)
	return d, err == nil && int64(d) >= key.minValue && int64(d) <= key.maxValue
}

func checkInteger(key Key, value any) (any, bool) {
	number, _ := value.(json.Number)
	n, err := strconv.ParseInt(number.String(), 10, 64)
	return n, err == nil && n >= key.minValue && n <= key.maxValue
}
