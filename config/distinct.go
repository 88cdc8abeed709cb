package config

import (
	"fmt"
	"reflect"
)

// distinctTag is the struct tag of a list whose items must differ in the named field,
// or as a whole if it is ".". The validator's unique rule is not used, because it
// would skip the validation of the items and hide their errors.
const distinctTag = "distinct"

// findDuplicates reports the items of lists in v that repeat an earlier item.
func findDuplicates(v reflect.Value, path string) FieldErrors {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			return findDuplicates(v.Elem(), path)
		}
	case reflect.Struct:
		return findDuplicatesInFields(v, path)
	case reflect.Slice:
		var errs FieldErrors
		for i := range v.Len() {
			errs = append(errs, findDuplicates(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
		return errs
	}
	return nil
}

func findDuplicatesInFields(v reflect.Value, path string) FieldErrors {
	var errs FieldErrors
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := jsonKey(field)
		if key == "" || !field.IsExported() {
			continue
		}
		at := joinPath(path, key)
		if by, ok := field.Tag.Lookup(distinctTag); ok {
			errs = append(errs, duplicateItems(v.Field(i), by, at)...)
		}
		errs = append(errs, findDuplicates(v.Field(i), at)...)
	}
	return errs
}

func duplicateItems(list reflect.Value, by, path string) FieldErrors {
	var errs FieldErrors
	first := map[any]int{}
	for i := range list.Len() {
		item := list.Index(i)
		if by != "." {
			item = item.FieldByName(by)
		}
		if j, ok := first[item.Interface()]; ok {
			errs = append(errs, FieldError{fmt.Sprintf("%s[%d]", path, i), fmt.Sprintf("repeats %s[%d]", path, j)})
			continue
		}
		first[item.Interface()] = i
	}
	return errs
}
