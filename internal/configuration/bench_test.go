package configuration

import (
	"fmt"
	"strings"
	"testing"
)

func BenchmarkParse(b *testing.B) {
	var routes []string
	for at := range 5000 {
		routes = append(routes, fmt.Sprintf(`{"path":"/v1/shops/%d/bookings","service":"app","kind":"k"}`, at))
	}
	body := []byte(`{"kinds":[{"name":"k","weight":1}],"services":[{"name":"app","type":"app","pool":"p"}],"routes":[` + strings.Join(routes, ",") + `]}`)
	for b.Loop() {
		if _, faults, _ := Parse(body, 1); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}
