package routing

import (
	"fmt"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/configuration"
)

func large(count int) *Table {
	told := configuration.Empty()
	told.Version = 1
	for at := range count {
		told.Routes = append(told.Routes, configuration.Route{Method: "POST", Path: fmt.Sprintf("/v1/shops/%d/bookings", at), Service: "app"})
	}
	return Empty().After(News{Policy: told})
}

// A request is routed by its method and whole path, and by nothing else.
func TestRoute(t *testing.T) {
	c := qt.New(t)
	current := large(300)
	cases := []struct {
		method, path string
		found        bool
	}{{"POST", "/v1/shops/7/bookings", true}, {"POST", "/v1/shops/7/bookings?x=1", true}, {"GET", "/v1/shops/7/bookings", false},
		{"POST", "/v1/shops/7/bookings/", false}, {"POST", "/v1/shops/700/bookings", false}, {"POST", "/V1/shops/7/bookings", false}, {"POST", "/v1//shops/7/bookings", false}}
	for _, one := range cases {
		route, ok := current.Route(httptest.NewRequest(one.method, one.path, nil))
		c.Check(ok, qt.Equals, one.found, qt.Commentf("%s %s", one.method, one.path))
		if ok {
			c.Check(route.Path, qt.Equals, "/v1/shops/7/bookings")
		}
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, count := range []int{50, 5000} {
		current := large(count)
		request := httptest.NewRequest("POST", fmt.Sprintf("/v1/shops/%d/bookings", count-1), nil)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				current.Route(request)
			}
		})
	}
}

func BenchmarkAfter(b *testing.B) {
	current := large(5000)
	told := *current.Policy
	for b.Loop() {
		next := told
		current.After(News{Policy: &next})
	}
}
