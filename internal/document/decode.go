package document

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxSize is the greatest size of a document in bytes. It is the limit of the platform, 1 MB.
const MaxSize = 1 << 20

// Decode decodes b strictly into the struct that v points to. For each struct that has a SetDefaults method, the method
// is called before the fields are decoded. Faults are returned as *Error with name as the document.
func Decode(name string, b []byte, v any) error {
	if len(b) > MaxSize {
		return &Error{Document: name, Allowed: fmt.Sprintf("at most %d bytes", MaxSize), Got: fmt.Sprintf("%d bytes", len(b))}
	}
	// The token decoder below does not detect trailing data, so the syntax of the whole document is checked first.
	var raw json.RawMessage
	if err := json.Unmarshal(b, &raw); err != nil {
		return &Error{Document: name, Allowed: "one JSON value", Got: shorten(err.Error())}
	}
	d := decoder{name: name, tokens: json.NewDecoder(bytes.NewReader(b)), fields: map[reflect.Type][]string{}}
	d.tokens.UseNumber()
	return d.value(reflect.ValueOf(v).Elem())
}

type decoder struct {
	name   string
	tokens *json.Decoder
	path   []step
	fields map[reflect.Type][]string
}

// A step of a path is a field or, if the name is empty, a list index. The path is formatted only for an error, because
// formatting it for each value takes a large part of the time to decode a document of 1 MB.
type step struct {
	name  string
	index int
}

func (d *decoder) value(v reflect.Value) error {
	t, err := d.tokens.Token()
	if err != nil {
		return d.fail("JSON", err.Error())
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return d.text(t, u)
	}
	switch v.Kind() {
	case reflect.Struct:
		return d.object(t, v)
	case reflect.Slice:
		return d.list(t, v)
	case reflect.String:
		if s, ok := t.(string); ok {
			v.SetString(s)
			return nil
		}
		return d.fail("a string", describe(t))
	case reflect.Bool:
		if b, ok := t.(bool); ok {
			v.SetBool(b)
			return nil
		}
		return d.fail("true or false", describe(t))
	}
	return d.number(t, v)
}

func (d *decoder) number(t json.Token, v reflect.Value) error {
	n, ok := t.(json.Number)
	switch v.Kind() {
	case reflect.Int:
		i, err := strconv.ParseInt(n.String(), 10, 64)
		if !ok || err != nil {
			return d.fail("an integer", describe(t))
		}
		v.SetInt(i)
	case reflect.Uint64:
		u, err := strconv.ParseUint(n.String(), 10, 64)
		if !ok || err != nil {
			return d.fail("a non-negative integer", describe(t))
		}
		v.SetUint(u)
	case reflect.Float64:
		f, err := strconv.ParseFloat(n.String(), 64)
		if !ok || err != nil || math.IsInf(f, 0) {
			return d.fail("a number", describe(t))
		}
		v.SetFloat(f)
	default:
		return d.fail("of a supported type", v.Type().String())
	}
	return nil
}

func (d *decoder) text(t json.Token, u encoding.TextUnmarshaler) error {
	// The address types decode an empty string as their zero value.
	if s, ok := t.(string); ok && s != "" && u.UnmarshalText([]byte(s)) == nil {
		return nil
	}
	allowed := "text"
	switch u.(type) {
	case *time.Time:
		allowed = "an RFC 3339 time"
	case *netip.AddrPort:
		allowed = `an "ip:port"`
	case *Duration:
		allowed = `a duration such as "250ms", "30s" or "1h"`
	}
	return d.fail(allowed, describe(t))
}

func (d *decoder) list(t json.Token, v reflect.Value) error {
	if t != json.Delim('[') {
		return d.fail("a list", describe(t))
	}
	v.SetLen(0)
	for i := 0; d.tokens.More(); i++ {
		e := reflect.New(v.Type().Elem()).Elem()
		d.path = append(d.path, step{index: i})
		if err := d.value(e); err != nil {
			return err
		}
		d.path = d.path[:len(d.path)-1]
		v.Set(reflect.Append(v, e))
	}
	_, err := d.tokens.Token()
	return err
}

func (d *decoder) object(t json.Token, v reflect.Value) error {
	if t != json.Delim('{') {
		return d.fail("an object", describe(t))
	}
	if s, ok := v.Addr().Interface().(interface{ SetDefaults() }); ok {
		s.SetDefaults()
	}
	names := d.names(v.Type())
	seen := make([]bool, len(names))
	for d.tokens.More() {
		k, err := d.tokens.Token()
		if err != nil {
			return d.fail("JSON", err.Error())
		}
		name, _ := k.(string)
		d.path = append(d.path, step{name: name})
		i := slices.Index(names, name)
		if i < 0 {
			return d.fail("one of the fields "+strings.Join(names, ", "), "an unknown field")
		}
		if seen[i] {
			return d.fail("given once", "the field again")
		}
		seen[i] = true
		if err := d.value(v.Field(i)); err != nil {
			return err
		}
		d.path = d.path[:len(d.path)-1]
	}
	_, err := d.tokens.Token()
	return err
}

func (d *decoder) fail(allowed, got string) error {
	var path strings.Builder
	for _, s := range d.path {
		switch {
		case s.name == "":
			fmt.Fprintf(&path, "[%d]", s.index)
		case path.Len() > 0:
			path.WriteString("." + shorten(s.name))
		default:
			path.WriteString(shorten(s.name))
		}
	}
	return &Error{Document: d.name, Field: path.String(), Allowed: allowed, Got: shorten(got)}
}

// describe returns the text of a token for an error.
func describe(t json.Token) string {
	switch t := t.(type) {
	case nil:
		return "null"
	case string:
		return quote(t)
	case json.Delim:
		if t == '{' {
			return "an object"
		}
		return "a list"
	}
	return fmt.Sprint(t)
}

// names returns the JSON names of the fields of a struct type.
func (d *decoder) names(t reflect.Type) []string {
	if names, ok := d.fields[t]; ok {
		return names
	}
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	d.fields[t] = names
	return names
}
