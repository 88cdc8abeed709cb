package config

import (
	"fmt"
	"reflect"
)

// distinctTag is the struct tag of a list whose items must differ: by the
// named field, or as a whole if it is ".". The validator's own unique rule
// would stop it from looking at the items, and hide their faults.
const distinctTag = "distinct"

// findDoubled reports the items of v's lists that repeat an earlier one.
func findDoubled(v reflect.Value, path string) FieldErrors {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			return findDoubled(v.Elem(), path)
		}
	case reflect.Struct:
		return findDoubledInFields(v, path)
	case reflect.Slice:
		var faults FieldErrors
		for i := range v.Len() {
			faults = append(faults, findDoubled(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
		return faults
	}
	return nil
}

func findDoubledInFields(v reflect.Value, path string) FieldErrors {
	var faults FieldErrors
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := keyOf(field)
		if key == "" || !field.IsExported() {
			continue
		}
		at := join(path, key)
		if by, ok := field.Tag.Lookup(distinctTag); ok {
			faults = append(faults, doubledItems(v.Field(i), by, at)...)
		}
		faults = append(faults, findDoubled(v.Field(i), at)...)
	}
	return faults
}

func doubledItems(list reflect.Value, by, path string) FieldErrors {
	var faults FieldErrors
	first := map[any]int{}
	for i := range list.Len() {
		item := list.Index(i)
		if by != "." {
			item = item.FieldByName(by)
		}
		if j, ok := first[item.Interface()]; ok {
			faults = append(faults, FieldError{fmt.Sprintf("%s[%d]", path, i), fmt.Sprintf("repeats %s[%d]", path, j)})
			continue
		}
		first[item.Interface()] = i
	}
	return faults
}
