package routing

import (
	"net"
	"net/http"
	"strings"

	"applequay/internal/configuration"
)

// routes finds a request's route: by host, method and whole path, or by host
// and the longest prefix of the path.
type routes struct {
	exact  map[string]configuration.Route
	prefix map[string]configuration.Route
}

func newRoutes(list []configuration.Route) *routes {
	out := &routes{exact: map[string]configuration.Route{}, prefix: map[string]configuration.Route{}}
	for _, route := range list {
		key := strings.ToLower(route.Host) + " " + route.Method + " " + route.Path
		if route.Prefix {
			out.prefix[key] = route
		} else {
			out.exact[key] = route
		}
	}
	return out
}

// Route finds where a request goes, by its host, its method and its path; there
// is no guess. A whole path wins over a prefix, a longer prefix over a shorter
// one, a host that is named over any host.
//
//	route, ok := current.Route(request)
func (t *Table) Route(r *http.Request) (configuration.Route, bool) {
	host := strings.ToLower(r.Host)
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	path := r.URL.EscapedPath()
	for _, named := range []string{host, ""} {
		for _, method := range []string{r.Method, ""} {
			if route, ok := t.routes.exact[named+" "+method+" "+path]; ok {
				return route, true
			}
		}
		if len(t.routes.prefix) == 0 {
			continue
		}
		for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
			for _, method := range []string{r.Method, ""} {
				if route, ok := t.routes.prefix[named+" "+method+" "+path[:end+1]]; ok {
					return route, true
				}
			}
		}
	}
	return configuration.Route{}, false
}

// Share picks the service of a route's request; turn, from 0 to 1, is drawn for it.
//
//	service := routing.Share(route, random.Float64())
func Share(route configuration.Route, turn float64) string {
	var all int64
	for _, share := range route.Split {
		all += share.Weight
	}
	if all <= 0 {
		return route.Service
	}
	at := int64(turn * float64(all))
	for _, share := range route.Split {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return route.Split[len(route.Split)-1].Service
}
