package clemroute

import (
	"cmp"
	"slices"
	"strings"

	clementineturn "github.com/clementineturn/clementineturn"
)

// Config describes a Configuration to construct.
type Config struct {
	// Version is the configuration's version. A higher version is newer.
	Version uint64
	// Document is the encoded text of the configuration.
	Document      []byte
	Routes        []RouteConfig
	Services      []ServiceConfig
	Organisations []OrganisationConfig
	// RequiresKeys is set if requests need the API key of an organisation, also if there is
	// no organisation left. It is implied if there are any.
	RequiresKeys bool
	Limits       LimitsConfig
}

// Configuration is one version of the operators' configuration. It is immutable.
type Configuration struct {
	version  uint64
	document []byte
	// hosts holds the routes of each host name, the longest prefix first.
	hosts        map[string][]*Route
	services     map[string]*Service
	byKey        map[string]*Organisation
	limits       Limits
	requiresKeys bool
	// urgencies holds the levels of urgency of each service, the most urgent first.
	urgencies map[string][]urgency
}

// New validates and returns a configuration. Errors: KindInvalid, which names the
// field.
func New(c Config) (*Configuration, error) {
	configuration := &Configuration{
		version: c.Version, document: c.Document, hosts: map[string][]*Route{},
		services: map[string]*Service{}, byKey: map[string]*Organisation{},
		limits: NewLimits(c.Limits), requiresKeys: c.RequiresKeys || len(c.Organisations) > 0, urgencies: map[string][]urgency{},
	}
	if err := c.Limits.validate(); err != nil {
		return nil, err
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
			configuration.byKey[key] = organisation
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
	r.MaxAttempts = max(r.MaxAttempts, 1)
	for _, t := range r.Targets {
		c.addUrgency(t.Service(), urgency{priority: r.Priority, target: r.LatencyTarget})
	}
	host := strings.ToLower(r.Host)
	c.hosts[host] = append(c.hosts[host], NewRoute(r))
	return nil
}

// Version returns the configuration's version.
func (c *Configuration) Version() uint64 { return c.version }

// Document returns the encoded text that the configuration was decoded from.
func (c *Configuration) Document() []byte { return c.document }

// Limits returns the limits on requests of clients.
func (c *Configuration) Limits() Limits { return c.limits }

// Service returns the service with the name, or nil.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Services returns all services by name.
func (c *Configuration) Services() map[string]*Service { return c.services }

// Route returns the host's route with the longest matching path prefix, or nil. A
// port in the host is ignored.
func (c *Configuration) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range c.hosts[host] {
		if strings.HasPrefix(path, route.Prefix()) {
			return route
		}
	}
	return nil
}

// Authenticate returns the organisation that holds the API key. For an unknown
// key it returns nil without an error if the route is public or the configuration requires
// no keys. Errors: KindUnauthenticated.
func (c *Configuration) Authenticate(route *Route, key string) (*Organisation, error) {
	if organisation := c.byKey[key]; organisation != nil {
		return organisation, nil
	}
	if !c.requiresKeys || route.Public() {
		return nil, nil
	}
	return nil, clementineturn.Refuse(clementineturn.KindUnauthenticated, "no organisation holds the API key")
}
