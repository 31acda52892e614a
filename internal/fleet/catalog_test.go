package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func inventoryOf(version int, hosts ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"availability-zones":["a","b"],"services":[
		{"name":"web","protocol":"tcp","addresses":["10.1.0.1:443","[2001:db8::1]:443"]},
		{"name":"dns","protocol":"udp","addresses":["10.1.0.1:443"]}],"hosts":[`, version)
	for i, h := range hosts {
		fmt.Fprintf(&b, `{"name":%q,"service":"web","availability-zone":%q,"address":"10.2.0.%d:6081"}`,
			h, []string{"a", "b"}[i%2], h[1]-'0')
		b.WriteString(map[bool]string{true: ","}[i < len(hosts)-1])
	}
	return []byte(b.String() + `]}`)
}

func rulesOf(version int, rest string) []byte {
	return fmt.Appendf(nil, `{"version":%d%s}`, version, rest)
}

func accept(t *testing.T, catalog *Catalog, kind Kind, b []byte) {
	t.Helper()
	if changed, err := catalog.AcceptBytes(kind, "test", b); !changed || err != nil {
		t.Fatal(changed, err)
	}
}

// Guards against a packet that is assigned to the service of another address, port or protocol, and against an
// allocation for each packet.
func TestLookupFindsServiceAndHost(t *testing.T) {
	is := is.New(t)
	catalog := &Catalog{}
	accept(t, catalog, Inventory, inventoryOf(1, "h1", "h2"))
	source := netip.MustParseAddrPort("192.0.2.1:5000")
	for _, c := range []struct {
		protocol uint8
		to, want string
	}{
		{packet.TCP, "10.1.0.1:443", "web"},
		{packet.TCP, "[2001:db8::1]:443", "web"},
		{packet.UDP, "10.1.0.1:443", "dns"},
		{packet.UDP, "[2001:db8::1]:443", ""},
		{packet.TCP, "10.1.0.1:80", ""},
		{packet.TCP, "10.1.0.2:443", ""},
	} {
		k := packet.NewKey(c.protocol, source, netip.MustParseAddrPort(c.to))
		name := ""
		if s := catalog.Lookup(&k); s != nil {
			name = s.Name
		}
		is.Equal(name, c.want)
		is.Equal(testing.AllocsPerRun(100, func() { catalog.Lookup(&k) }), 0.0)
	}
	s, h := catalog.HostAt(netip.MustParseAddr("::ffff:10.2.0.2"))
	is.True(s.Name == "web" && h.Name == "h2")
	is.Equal(testing.AllocsPerRun(100, func() { catalog.HostAt(h.Address.Addr()) }), 0.0)
	s, h = catalog.HostAt(netip.MustParseAddr("10.2.0.9"))
	is.True(s == nil && h == nil)
}

// Guards against a refused document that changes the active one, and against a refusal that operators must see but that
// a later stale document replaces.
func TestRefusedDocumentChangesNothing(t *testing.T) {
	is := is.New(t)
	catalog := &Catalog{Counters: counter.New(), Now: func() time.Duration { return time.Minute }}
	current := inventoryOf(5, "h1")
	accept(t, catalog, Inventory, current)
	for _, c := range []struct {
		text []byte
		want error
	}{
		{inventoryOf(5, "h2"), ErrConflict},
		{inventoryOf(4, "h2"), ErrStale},
		{[]byte(`{"version":9}{}`), ErrInvalid},
		{inventoryOf(4, "h2"), ErrStale},
	} {
		changed, err := catalog.AcceptBytes(Inventory, "peer", c.text)
		is.True(!changed)
		is.True(errors.Is(err, c.want))
		is.Equal(string(catalog.Document(Inventory)), string(current))
		is.Equal(catalog.Generation(), uint64(1))
	}
	changed, err := catalog.AcceptBytes(Inventory, "peer", slices.Clone(current))
	is.True(!changed && err == nil)
	is.True(strings.Contains(catalog.LastRefusal().Error, "one JSON value")) // The stale document was refused after it.
	is.True(errors.Is(catalog.Compare(Inventory, "peer", Version{Number: 5, Hash: 1}), ErrConflict))
	is.NoErr(catalog.Compare(Inventory, "peer", Version{Number: 4, Hash: 1}))
	is.Equal(catalog.LastRefusal().Time, time.Minute)
	is.True(strings.Contains(catalog.LastRefusal().Error, "other content"))
	is.Equal(catalog.Counters.Values()["document-refused-stale-inventory"], int64(2))
	is.Equal(catalog.Counters.Values()["document-refused-conflict-inventory"], int64(2))
	is.Equal(catalog.Counters.Values()["document-refused-invalid-inventory"], int64(1))
}

// Guards against IDs that change or are reused when a name is removed and added again.
func TestIDsAreStable(t *testing.T) {
	is := is.New(t)
	catalog := &Catalog{}
	accept(t, catalog, Inventory, inventoryOf(1, "h1", "h2"))
	_, h1 := catalog.HostAt(netip.MustParseAddr("10.2.0.1"))
	service := catalog.Services()[1].ID
	accept(t, catalog, Inventory, inventoryOf(2, "h3"))
	_, h3 := catalog.HostAt(netip.MustParseAddr("10.2.0.3"))
	accept(t, catalog, Inventory, []byte(`{"version":3}`))
	is.Equal(len(catalog.Services()), 0)
	accept(t, catalog, Inventory, inventoryOf(4, "h3", "h1"))
	_, back := catalog.HostAt(netip.MustParseAddr("10.2.0.1"))
	is.Equal(back.ID, h1.ID)
	is.Equal(catalog.Services()[1].ID, service)
	is.True(service != 0 && h1.ID != 0 && h3.ID != 0 && h3.ID != h1.ID && catalog.Services()[0].ID != service)
}

func describe(catalog *Catalog) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v ignored %d\n", catalog.Versions(), catalog.Ignored())
	for _, s := range catalog.Services() {
		fmt.Fprintf(&b, "%s %v\n", s.Name, s.Addresses)
		for _, h := range s.Hosts {
			c := *h
			c.ID = 0 // IDs follow the order of arrival.
			fmt.Fprintf(&b, "  %+v\n", c)
		}
	}
	return b.String()
}

// Guards against a configuration that depends on the order in which documents arrive.
func TestCatalogDoesNotDependOnDocumentOrder(t *testing.T) {
	type submission struct {
		kind Kind
		text []byte
	}
	submissions := []submission{
		{Inventory, inventoryOf(1, "h1")},
		{Inventory, inventoryOf(2, "h1", "h2", "h3")},
		{Rules, rulesOf(1, `,"leaving":["h1"]`)},
		{Rules, rulesOf(2, `,"leaving":["h2","h9"],"hosts":[{"name":"h3","max-share":0.25},{"name":"h8","max-share":1}],
			"services":[{"name":"web","availability-zones":["b","z"]},{"name":"ftp","availability-zones":["a"]},
			{"name":"dns","availability-zones":["z"]}]`)},
		{Inventory, inventoryOf(1, "h1")},
	}
	want := ""
	var permute func(rest, submitted []submission)
	permute = func(rest, submitted []submission) {
		if len(rest) == 0 {
			is := is.New(t)
			catalog := &Catalog{}
			for _, o := range submitted {
				_, _ = catalog.AcceptBytes(o.kind, "test", o.text)
			}
			if want == "" {
				want = describe(catalog)
				web := catalog.Services()[1]
				is.True(web.Hosts[0].OutsideZone && !web.Hosts[1].OutsideZone && web.Hosts[1].Leaving)
				is.Equal(web.Hosts[2].MaxShare, 0.25)
				is.Equal(catalog.Ignored(), 5) // h9, h8, zone z twice and ftp.
			}
			is.Equal(describe(catalog), want)
		}
		for i := range rest {
			permute(slices.Concat(rest[:i], rest[i+1:]), append(submitted[:len(submitted):len(submitted)], rest[i]))
		}
	}
	permute(submissions, nil)
}

// Guards against a sequence of documents that lowers a version, changes the content of a version or changes an ID.
func TestAcceptKeepsVersionsAndIDsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		catalog := &Catalog{}
		var model [2]struct {
			version int
			text    string
		}
		ids := map[string]uint32{}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				kind := rapid.SampledFrom(Kinds[:]).Draw(t, "kind")
				version := rapid.IntRange(0, 12).Draw(t, "version")
				host := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "host")
				text := inventoryOf(version, host)
				if kind == Rules {
					text = rulesOf(version, `,"leaving":["`+host+`"]`)
				}
				m := &model[kind-1]
				changed, err := catalog.AcceptBytes(kind, "test", text)
				switch {
				case version == 0:
					if changed || !errors.Is(err, ErrInvalid) {
						t.Fatal(changed, err)
					}
				case version > m.version:
					if !changed || err != nil {
						t.Fatal(changed, err)
					}
					m.version, m.text = version, string(text)
				case version < m.version:
					if changed || !errors.Is(err, ErrStale) {
						t.Fatal(changed, err)
					}
				default:
					if changed || errors.Is(err, ErrConflict) == (m.text == string(text)) {
						t.Fatal(changed, err)
					}
				}
			},
			"": func(t *rapid.T) {
				for _, kind := range Kinds {
					m, v := model[kind-1], catalog.Versions().Of(kind)
					if v.Number != uint64(m.version) || string(catalog.Document(kind)) != m.text ||
						v.Number > 0 && v.Hash != HashOf([]byte(m.text)) {
						t.Fatal(kind, v, m)
					}
				}
				for _, s := range catalog.Services() {
					for _, h := range s.Hosts {
						if h.ID == 0 || ids[h.Name] != 0 && ids[h.Name] != h.ID {
							t.Fatal(h.Name, h.ID, ids)
						}
						ids[h.Name] = h.ID
						if leaving := strings.Contains(model[1].text, h.Name); h.Leaving != leaving {
							t.Fatal(h.Name, h.Leaving)
						}
					}
				}
			},
		})
	})
}
