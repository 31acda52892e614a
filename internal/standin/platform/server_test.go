package platform

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a stand-in that accepts publications that the platform refuses, or responds to reads differently.
func TestServer(t *testing.T) {
	is := is.New(t)
	h := (&Server{}).Handler()
	for _, c := range []struct {
		request, body string
		status        int
		want          string
	}{
		{"GET /documents/rules?after=0&wait=0", "", 304, ""},
		{"POST /publish/rules", `{"version":2}`, 204, ""},
		{"POST /publish/rules", `{"version":2,"leaving":[]}`, 409, "version 2, published is 2\n"},
		{"POST /publish/rules", `{"version":1}`, 409, "version 1, published is 2\n"},
		{"POST /publish/other", `{"version":1}`, 400, "document kind \"other\" not valid\n"},
		{"POST /publish/rules", `{`, 400, "document: unexpected end of JSON input\n"},
		{"POST /publish/rules", `{"version":3}`, 204, ""},
		{"GET /documents/rules", "", 200, `{"version":3}`},
		{"GET /documents/rules?after=2&wait=9", "", 200, `{"version":3}`},
		{"GET /documents/rules?after=3&wait=1", "", 304, ""},
		{"GET /documents/rules?after=x", "", 400, "after must be a version\n"},
		{"GET /documents/rules?wait=-1", "", 400, "wait must be a number of seconds\n"},
		{"GET /documents/other", "", 404, "404 page not found\n"},
		{"GET /vms", "", 200, `[]`},
		{"POST /switch/old?value=true", "", 204, ""},
		{"GET /documents/rules?after=3&wait=9", "", 200, `{"version":2}`},
		{"POST /switch/old?value=false", "", 204, ""},
		{"POST /switch/restored?value=x", "", 400, "strconv.ParseUint: parsing \"x\": invalid syntax\n"},
		{"POST /switch/restored?value=1", "", 204, ""},
		{"GET /documents/rules?after=3&wait=9&era=0", "", 200, `{"version":2}`},
		{"POST /publish/rules", `{"version":3}`, 204, ""},
		{"POST /switch/slow?value=1ms", "", 204, ""},
		{"POST /switch/slow?value=x", "", 400, "time: invalid duration \"x\"\n"},
		{"POST /switch/other?value=1", "", 404, "404 page not found\n"},
		{"POST /switch/down?value=true", "", 204, ""},
		{"GET /vms", "", 503, "the service is down\n"},
		{"GET /documents/rules", "", 503, "the service is down\n"},
	} {
		method, target, _ := strings.Cut(c.request, " ")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(c.body)))
		b, err := io.ReadAll(w.Result().Body)
		is.NoErr(err)
		if w.Code != c.status || string(b) != c.want {
			t.Errorf("%s %s: got %d %q, want %d %q", c.request, c.body, w.Code, b, c.status, c.want)
		}
	}
}
