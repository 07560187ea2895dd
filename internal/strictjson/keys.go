package strictjson

import (
	"encoding/json"
	"reflect"
	"strings"
	"sync"
)

// objectKeys are the keys of the objects that a type takes.
type objectKeys struct {
	// fields maps the keys of a struct to the types of their values.
	fields   map[string]reflect.Type
	required []string
	// other is the type of values of all other keys, or nil if they are not decoded.
	other reflect.Type
}

// typeOf returns the type of a key's value, given what fields holds for the key.
func (k *objectKeys) typeOf(field reflect.Type, known bool) reflect.Type {
	if known {
		return field
	}
	return k.other
}

// likeKnown reports whether package encoding/json takes an unknown key for a known one.
func (k *objectKeys) likeKnown(key string) bool {
	for name := range k.fields {
		if strings.EqualFold(name, key) {
			return true
		}
	}
	return false
}

var (
	unmarshaler = reflect.TypeFor[json.Unmarshaler]()
	noKeys      = &objectKeys{}
	// knownKeys holds the *objectKeys of each struct type.
	knownKeys sync.Map
)

// decodedType returns the type that package encoding/json decodes a value of t as, without
// pointers, or nil if t decodes its values itself.
func decodedType(t reflect.Type) reflect.Type {
	for t != nil {
		if t.Implements(unmarshaler) || reflect.PointerTo(t).Implements(unmarshaler) {
			return nil
		}
		if t.Kind() != reflect.Pointer {
			return t
		}
		t = t.Elem()
	}
	return nil
}

// keysOf returns the keys of objects of type t, which may be nil.
func keysOf(t reflect.Type) *objectKeys {
	switch {
	case t == nil:
		return noKeys
	case t.Kind() == reflect.Map:
		return &objectKeys{other: t.Elem()}
	case t.Kind() == reflect.Interface:
		return &objectKeys{other: t}
	case t.Kind() != reflect.Struct:
		return noKeys
	}
	if k, ok := knownKeys.Load(t); ok {
		return k.(*objectKeys)
	}
	k := &objectKeys{fields: map[string]reflect.Type{}}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "-" || !f.IsExported() || f.Anonymous && name == "" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		k.fields[name] = f.Type
		if f.Tag.Get("strictjson") == "required" {
			k.required = append(k.required, name)
		}
	}
	knownKeys.Store(t, k)
	return k
}

// unquote returns the value of a valid JSON string.
func unquote(quoted []byte) string {
	var s string
	if json.Unmarshal(quoted, &s) != nil {
		return ""
	}
	return s
}
