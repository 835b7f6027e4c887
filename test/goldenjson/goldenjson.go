// Package goldenjson compares the JSON of structs that are stored, gossiped or served over HTTP with
// golden files written by an earlier build. Tests use it to detect a JSON key that changes with the
// name of a Go field before it reaches a disk or another process.
package goldenjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// writeVariable is the environment variable that makes Check write golden files that do not exist.
// Existing files are never overwritten.
const writeVariable = "WRITE_GOLDEN"

// Check fills the value that a pointer points to (Fill) and compares its JSON, followed by the JSON
// of the type's zero value on a second line, with a golden file byte by byte. The JSON of the filled
// value must also decode to the same value.
func Check(file string, pointer any) error {
	if err := Fill(pointer); err != nil {
		return err
	}
	filled, err := json.Marshal(pointer)
	if err != nil {
		return errors.Wrap(err, "encoding the filled value")
	}
	zero, err := json.Marshal(reflect.New(reflect.TypeOf(pointer).Elem()).Interface())
	if err != nil {
		return errors.Wrap(err, "encoding the zero value")
	}
	if err := CheckBytes(file, bytes.Join([][]byte{filled, zero}, []byte("\n"))); err != nil {
		return err
	}
	return checkDecoding(filled, pointer)
}

func checkDecoding(data []byte, pointer any) error {
	again := reflect.New(reflect.TypeOf(pointer).Elem())
	if err := json.Unmarshal(data, again.Interface()); err != nil {
		return errors.Wrap(err, "decoding the golden file")
	}
	if !reflect.DeepEqual(again.Interface(), pointer) {
		return errors.Errorf("the golden file decodes to %+v, want %+v", again.Elem(), reflect.ValueOf(pointer).Elem())
	}
	return nil
}

// CheckBytes compares data, followed by a newline, with a golden file.
func CheckBytes(file string, data []byte) error {
	want, err := os.ReadFile(file)
	if os.IsNotExist(err) && os.Getenv(writeVariable) != "" {
		return writeMissing(file, data)
	}
	if err != nil {
		return errors.Wrapf(err, "cannot read the golden file; this build encodes %s", data)
	}
	if !bytes.Equal(append(bytes.Clone(data), '\n'), want) {
		return errors.Errorf("%s: got\n%s\nwant\n%s", filepath.Base(file), data, want)
	}
	return nil
}

func writeMissing(file string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return errors.Wrap(err, "creating the directory of golden files")
	}
	return errors.Wrap(os.WriteFile(file, append(bytes.Clone(data), '\n'), 0o644), "writing a golden file")
}

// Fill sets every exported field reachable from a pointer to a non-zero value: strings to the
// field's JSON key, numbers to increasing ones. Fields that are not encoded ("-") are left unchanged.
// A field without a key in its tag is an error, because its key would change with its Go name.
func Fill(pointer any) error {
	value := reflect.ValueOf(pointer)
	if value.Kind() != reflect.Pointer || value.IsNil() {
		return errors.Errorf("%T is nil or not a pointer", pointer)
	}
	f := filler{}
	return f.fill(value.Elem(), "value")
}

// filler fills values; last is the number that it used last.
type filler struct{ last int64 }

func (f *filler) next() int64 {
	f.last++
	return f.last
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

// fill sets a value and everything it contains. The key is the JSON key of the enclosing field.
func (f *filler) fill(value reflect.Value, key string) error {
	if value.Type() == rawMessage {
		value.SetBytes(fmt.Appendf(nil, `{%q:%d}`, key, f.next()))
		return nil
	}
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		return f.fill(value.Elem(), key)
	case reflect.Slice:
		return f.fillSlice(value, key)
	case reflect.Map:
		return f.fillMap(value, key)
	case reflect.Struct:
		return f.fillStruct(value)
	}
	return f.fillScalar(value, key)
}

// fillScalar sets a value that contains no others.
func (f *filler) fillScalar(value reflect.Value, key string) error {
	switch value.Kind() {
	case reflect.String:
		value.SetString(key)
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int64:
		value.SetInt(f.next())
	case reflect.Uint64:
		value.SetUint(uint64(f.next()))
	case reflect.Float64:
		value.SetFloat(float64(f.next()) + 0.5)
	case reflect.Interface:
		value.Set(reflect.ValueOf(key))
	default:
		return errors.Errorf("cannot fill a field of kind %s; add it to fillScalar", value.Kind())
	}
	return nil
}

func (f *filler) fillSlice(value reflect.Value, key string) error {
	if value.Type().Elem().Kind() == reflect.Uint8 {
		value.SetBytes([]byte(key))
		return nil
	}
	value.Set(reflect.MakeSlice(value.Type(), 1, 1))
	return f.fill(value.Index(0), key)
}

func (f *filler) fillMap(value reflect.Value, key string) error {
	name, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
	if err := f.fill(name, "key of "+key); err != nil {
		return err
	}
	if err := f.fill(element, key); err != nil {
		return err
	}
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(name, element)
	return nil
}

func (f *filler) fillStruct(value reflect.Value) error {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || key == "-" {
			continue
		}
		if key == "" && !field.Anonymous {
			return errors.Errorf("field %s of %s has no JSON key in its tag", field.Name, value.Type())
		}
		if err := f.fill(value.Field(i), key); err != nil {
			return errors.Wrap(err, field.Name)
		}
	}
	return nil
}
