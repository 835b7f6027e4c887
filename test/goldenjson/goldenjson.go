// Package goldenjson compares the JSON of structs that are stored, gossiped or served over
// HTTP with files that an earlier build wrote. It serves tests: a key that changes with the
// name of a Go field is found before it reaches a disk or another process.
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

// writeVariable is the environment variable with which Check writes files that don't exist; one
// that does is never written anew.
const writeVariable = "WRITE_GOLDEN"

// Check fills the value that a pointer points to (Fill) and compares its JSON, and in a
// second line that of the type's zero value, with a golden file, byte by byte. The first
// line read back has to give the same value.
func Check(file string, pointer any) error {
	if err := Fill(pointer); err != nil {
		return err
	}
	filled, err := json.Marshal(pointer)
	if err != nil {
		return errors.Wrap(err, "writing the filled value")
	}
	zero, err := json.Marshal(reflect.New(reflect.TypeOf(pointer).Elem()).Interface())
	if err != nil {
		return errors.Wrap(err, "writing the zero value")
	}
	if err := CheckBytes(file, bytes.Join([][]byte{filled, zero}, []byte("\n"))); err != nil {
		return err
	}
	return checkDecoding(filled, pointer)
}

func checkDecoding(data []byte, pointer any) error {
	again := reflect.New(reflect.TypeOf(pointer).Elem())
	if err := json.Unmarshal(data, again.Interface()); err != nil {
		return errors.Wrap(err, "reading the golden file")
	}
	if !reflect.DeepEqual(again.Interface(), pointer) {
		return errors.Errorf("the golden file reads back as %+v, not %+v", again.Elem(), reflect.ValueOf(pointer).Elem())
	}
	return nil
}

// CheckBytes compares bytes with a golden file; the file ends with a line break besides.
func CheckBytes(file string, data []byte) error {
	want, err := os.ReadFile(file)
	if os.IsNotExist(err) && os.Getenv(writeVariable) != "" {
		return writeMissing(file, data)
	}
	if err != nil {
		return errors.Wrapf(err, "no golden file; what this build writes is %s", data)
	}
	if !bytes.Equal(append(bytes.Clone(data), '\n'), want) {
		return errors.Errorf("%s: written is\n%s\nexpected is\n%s", filepath.Base(file), data, want)
	}
	return nil
}

func writeMissing(file string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return errors.Wrap(err, "making the folder of golden files")
	}
	return errors.Wrap(os.WriteFile(file, append(bytes.Clone(data), '\n'), 0o644), "writing a golden file")
}

// Fill sets every exported field below a pointer to a value that is not zero: strings to the
// field's JSON key, numbers to rising ones. Fields that are not encoded ("-") stay as they are.
// A field without a key in its tag is an error: its key would change with its Go name.
func Fill(pointer any) error {
	value := reflect.ValueOf(pointer)
	if value.Kind() != reflect.Pointer || value.IsNil() {
		return errors.Errorf("%T is no pointer to a value", pointer)
	}
	f := filler{}
	return f.fill(value.Elem(), "value")
}

// filler counts the numbers that it has used.
type filler struct{ last int64 }

func (f *filler) next() int64 {
	f.last++
	return f.last
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

// fill sets a value and all that it holds. The key is that of the field that it belongs to.
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

// fillScalar sets a value that holds no other.
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
		return errors.Errorf("a field of kind %s can't be filled; add it here", value.Kind())
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
