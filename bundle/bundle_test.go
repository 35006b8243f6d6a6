package bundle_test

import (
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Fixes the seed of the property tests unless the command line sets one.
func init() { _ = flag.Set("rapid.seed", "1") }

const sample = `{"version": 7, "deployment": "kgosi",
 "regions": ["gauteng", "western-cape", "kzn"],
 "homes": [{"name": "kzn", "regions": ["kzn"]}, {"name": "coast", "regions": ["kzn", "western-cape"]}],
 "classes": [{"name": "short", "urgency": 0, "first": 1600, "between": 54, "deadline": 20000, "tokens": 256, "share": 1.0},
             {"name": "long", "urgency": 1, "first": 8000, "between": 54, "deadline": 120000, "tokens": 0, "share": 0.75}],
 "services": [{"name": "kit-assistant", "kind": "engine", "regions": ["gauteng", "western-cape"], "transit": false, "continue": true, "fence": true, "model": "kit-1"},
              {"name": "order-desk", "kind": "plain", "regions": ["gauteng", "kzn"], "transit": false, "validity": 60000,
               "calls": [{"method": "GET", "path": "/stock/", "idempotent": true, "hedge": true},
                         {"method": "POST", "path": "/orders", "idempotent": false}]}],
 "limits": {"body": 1048576, "queue": 512, "caller": 64, "answers": 16777216, "loads": 1},
 "retry": {"share": 0.1, "burst": 10, "attempts": 3},
 "weights": {"away": 1.0, "cost": 1.0, "short": 1.0, "tail": 1.0},
 "links": [{"from": "gauteng", "to": "kzn", "budget": 6000000}]}`

// Guards against accepting an invalid document, and against errors that do not name the
// faulty field.
func TestParseRejects(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", `"hedge": true`, `"hedged": true`, "services[1].calls[0].hedged: invalid: unknown field"},
		{"field in another case", `"version"`, `"Version"`, "Version: "},
		{"repeated field", `"version": 7`, `"version": 7, "version": 8`, "version: invalid: repeated"},
		{"null", `"retry": {"share": 0.1, "burst": 10, "attempts": 3}`, `"retry": null`, "retry: "},
		{"text for a number", `"urgency": 0`, `"urgency": "0"`, "classes[0].urgency: "},
		{"fraction", `"queue": 512`, `"queue": 512.5`, "limits.queue: "},
		{"negative version", `"version": 7`, `"version": -7`, "version: "},
		{"no version", `"version": 7, `, ``, "version: "},
		{"version exceeds JSON integers", `"version": 7`, `"version": 9007199254740992`, "version: "},
		{"object for a list", `"links": [`, `"links": {}, "links": [`, "links: "},
		{"undeclared home region", `"name": "kzn", "regions": ["kzn"]`, `"name": "kzn", "regions": ["natal"]`, "homes[0].regions[0]: "},
		{"empty home", `"name": "kzn", "regions": ["kzn"]`, `"name": "kzn", "regions": []`, "homes[0].regions: "},
		{"home twice", `"name": "coast"`, `"name": "kzn"`, "homes[1].name: "},
		{"undeclared service region", `["gauteng", "western-cape"], "t`, `["dk-east"], "t`, "services[0].regions[0]: "},
		{"service without regions", `["gauteng", "western-cape"], "t`, `[], "t`, "services[0].regions: "},
		{"region twice", `["gauteng", "western-cape"], "t`, `["gauteng", "gauteng"], "t`, "services[0].regions[1]: "},
		{"service twice", `"order-desk"`, `"kit-assistant"`, "services[1].name: "},
		{"invalid name", `"order-desk"`, `"order/desk"`, "services[1].name: "},
		{"unknown kind", `"plain"`, `"batch"`, "services[1].kind: "},
		{"engine without model", `"kit-1"`, `""`, "services[0].model: "},
		{"plain without calls", `"fence": true, "model": "kit-1"`, `"fence": true, "model": "kit-1", "calls": [{"method": "GET", "path": "/", "idempotent": true}]`, "services[0].calls: "},
		{"hedged non-idempotent call", `"idempotent": false`, `"idempotent": false, "hedge": true`, "services[1].calls[1].hedge: "},
		{"non-idempotent call without validity", `"validity": 60000`, `"validity": 0`, "services[1].validity: "},
		{"call twice", `"POST", "path": "/orders"`, `"GET", "path": "/stock/"`, "services[1].calls[1].path: "},
		{"unclean path", `"/orders"`, `"/stock/../orders"`, "services[1].calls[1].path: "},
		{"unknown method", `"POST"`, `"post"`, "services[1].calls[1].method: "},
		{"no unbounded class", `"tokens": 0`, `"tokens": 512`, "classes: "},
		{"same token limit", `"tokens": 256`, `"tokens": 0`, "classes[1].tokens: "},
		{"class twice", `"long"`, `"short"`, "classes[1].name: "},
		{"share of 0", `"share": 0.75`, `"share": 0`, "classes[1].share: "},
		{"share above 1", `"share": 0.75`, `"share": 1.5`, "classes[1].share: "},
		{"deadline below target", `"deadline": 20000`, `"deadline": 20`, "classes[0].deadline: "},
		{"no body limit", `"body": 1048576`, `"body": 0`, "limits.body: "},
		{"no limit for loads", `, "loads": 1`, ``, "limits.loads: "},
		{"key header of an idempotent call", `"hedge": true`, `"dedupe": "Idempotency-Key"`, "services[1].calls[0].dedupe: "},
		{"unknown key header", `"idempotent": false`, `"idempotent": false, "dedupe": "Cookie"`, "services[1].calls[1].dedupe: "},
		{"no attempts", `"attempts": 3`, `"attempts": 0`, "retry.attempts: "},
		{"negative weight", `"away": 1.0`, `"away": -1`, "weights.away: "},
		{"link to undeclared region", `"to": "kzn"`, `"to": "natal"`, "links[0].to: "},
		{"link to itself", `"to": "kzn"`, `"to": "gauteng"`, "links[0].to: "},
		{"syntax", `"kind": "engine"`, `"kind" "engine"`, "document: invalid: line 6: "},
		{"trailing data", `"budget": 6000000}]}`, `"budget": 6000000}]} {}`, "document: "},
		{"too large", `}]}`, `}]}` + strings.Repeat(" ", bundle.MaxSize), "document: "},
		{"invalid text", `"kgosi"`, "\"kg\xffsi\"", "document: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, sample, c.old)
			_, err := bundle.Parse([]byte(strings.Replace(sample, c.old, c.new, 1)))
			require.Error(t, err)
			require.True(t, strings.HasPrefix(err.Error(), c.want), err.Error())
			require.Equal(t, bundle.KindInvalid, fault.KindOf[bundle.Kind](err))
		})
	}
}

func parseSample(t *testing.T) *bundle.Document {
	t.Helper()
	document, err := bundle.Parse([]byte(sample))
	require.NoError(t, err)
	return document
}

// Guards against serving a request outside its allowed regions.
func TestAllowed(t *testing.T) {
	document := parseSample(t)
	desk, ok := document.Service("order-desk")
	require.True(t, ok)
	kit, _ := document.Service("kit-assistant")
	_, ok = document.Service("orders")
	require.False(t, ok)
	cases := []struct {
		service *bundle.Service
		home    ident.Home
		want    []ident.Region
		kind    bundle.Kind
	}{
		{desk, "", []ident.Region{"gauteng", "kzn"}, ""},
		{desk, "coast", []ident.Region{"kzn"}, ""},
		{kit, "coast", []ident.Region{"western-cape"}, ""},
		{kit, "kzn", nil, bundle.KindNoRegion},
		{kit, "KZN", nil, bundle.KindUnknownHome},
	}
	for _, c := range cases {
		got, err := document.Allowed(c.service, c.home)
		require.Equal(t, c.kind, fault.KindOf[bundle.Kind](err))
		require.Equal(t, c.want, got)
	}
}

// Guards against classifying long work as short.
func TestClassFor(t *testing.T) {
	document := parseSample(t)
	for answer, want := range map[ident.Tokens]ident.Class{1: "short", 256: "short", 257: "long", 0: "long", -1: "long"} {
		require.Equal(t, want, document.ClassFor(answer).Name, "%d tokens", answer)
	}
}

// Guards against mistaking an order for an idempotent lookup.
func TestCall(t *testing.T) {
	service, _ := parseSample(t).Service("order-desk")
	for path, want := range map[string]bool{
		"/stock/": true, "/stock/12": true, "/stock": false, "/stock/../orders": false,
		"/stock//12": false, "/stock/.": false, `/stock/..\orders`: false, "stock/": false, "": false,
	} {
		call, ok := service.Call("GET", path)
		require.Equal(t, want, ok, path)
		require.True(t, !ok || call.Idempotent)
	}
	call, ok := service.Call("POST", "/orders")
	require.True(t, ok)
	require.False(t, call.Idempotent)
	_, ok = service.Call("POST", "/orders/")
	require.False(t, ok)
}
