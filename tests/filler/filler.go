// Package filler fills values for tests that compare encoded messages and rows
// with golden files.
package filler

import (
	"fmt"
	"reflect"
	"time"
)

// epoch is the base of all filled times.
var epoch = time.UnixMilli(1_700_000_000_000).UTC()

// floatStep is a multiple of every unit to which an encoder rounds numbers, so
// that rounding does not change filled values.
const floatStep = 64

// Fill sets each exported field of the struct that v points to, at all depths,
// to a value other than zero that differs from those of its neighbours where the
// type allows it. Lists and maps get one element. A type for which values holds a
// value, such as a string type with a fixed set of values, gets that value.
//
// The values depend on the order and the types of the fields and not on their
// names, so that a golden file of the encoded value changes when a field is
// written out under another name.
func Fill(v any, values ...any) {
	f := filler{fixed: map[reflect.Type]reflect.Value{}}
	for _, value := range values {
		f.fixed[reflect.TypeOf(value)] = reflect.ValueOf(value)
	}
	f.fill(reflect.ValueOf(v).Elem())
}

type filler struct {
	count int64
	fixed map[reflect.Type]reflect.Value
}

func (f *filler) fill(v reflect.Value) {
	f.count++
	if fixed, ok := f.fixed[v.Type()]; ok {
		v.Set(fixed)
		return
	}
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(epoch.Add(time.Duration(f.count) * time.Second)))
		return
	case time.Duration:
		v.SetInt(f.count * int64(time.Second))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.count))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(f.count % 100)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.count % 100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.count * floatStep))
	default:
		panic(fmt.Sprintf("filler: cannot fill a value of type %s", v.Type()))
	}
}
