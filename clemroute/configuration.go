package clemroute

import (
	"cmp"
	"slices"
	"strings"

	clementineturn "github.com/clementineturn/clementineturn"
)

// Config describes a Configuration to construct.
type Config struct {
	// Version orders configurations.
	Version uint64
	// Document is the text that the configuration was decoded from.
	Document      []byte
	Routes        []RouteConfig
	Services      []ServiceConfig
	Organisations []OrganisationConfig
	Limits        LimitsConfig
}

// Configuration is one version of what the operators decided. It never changes.
type Configuration struct {
	version  uint64
	document []byte
	// hosts holds the routes of each host, the longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
	limits   Limits
	keyed    bool
}

// New checks and returns the configuration. Errors: KindInvalid, which names the field.
func New(c Config) (*Configuration, error) {
	configuration := &Configuration{
		version: c.Version, document: c.Document, hosts: map[string][]*Route{},
		services: map[string]*Service{}, keys: map[string]*Organisation{},
		limits: NewLimits(c.Limits), keyed: len(c.Organisations) > 0,
	}
	for _, s := range c.Services {
		configuration.services[s.Name] = NewService(s)
	}
	for _, r := range c.Routes {
		if err := configuration.addRoute(r); err != nil {
			return nil, err
		}
	}
	for _, o := range c.Organisations {
		organisation := NewOrganisation(o)
		for _, key := range o.Keys {
			configuration.keys[key] = organisation
		}
	}
	for _, routes := range configuration.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix()), len(a.Prefix())) })
	}
	return configuration, nil
}

func (c *Configuration) addRoute(r RouteConfig) error {
	field := "routes." + r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return clementineturn.Invalid(field+".prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Targets) == 0 {
		return clementineturn.Invalid(field+".service", "no service takes the requests")
	}
	for _, t := range r.Targets {
		if c.services[t.Service()] == nil {
			return clementineturn.Invalid(field+".service", "unknown service %q", t.Service())
		}
	}
	r.Attempts = max(r.Attempts, 1)
	host := strings.ToLower(r.Host)
	c.hosts[host] = append(c.hosts[host], NewRoute(r))
	return nil
}

// Version returns the configuration's version.
func (c *Configuration) Version() uint64 { return c.version }

// Document returns the text that the configuration was decoded from.
func (c *Configuration) Document() []byte { return c.document }

// Limits returns what clients may send.
func (c *Configuration) Limits() Limits { return c.limits }

// Service returns the service of the name, or nil.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Services returns every service by name.
func (c *Configuration) Services() map[string]*Service { return c.services }

// Route returns the route with the longest prefix of the path among those of
// the host, or nil. A port in the host is left out of account.
func (c *Configuration) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, route := range c.hosts[host] {
		if strings.HasPrefix(path, route.Prefix()) {
			return route
		}
	}
	return nil
}

// Organisation returns the holder of the API key. It returns nil without an
// error if the route needs no key. Errors: KindUnauthenticated.
func (c *Configuration) Organisation(route *Route, key string) (*Organisation, error) {
	if organisation := c.keys[key]; organisation != nil {
		return organisation, nil
	}
	if !c.keyed || route.Public() {
		return nil, nil
	}
	return nil, clementineturn.Refuse(clementineturn.KindUnauthenticated, "no organisation holds the API key")
}
