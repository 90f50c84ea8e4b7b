// Package configurer reads and validates the settings file of an instance and reports the file, line and key of each error.
package configurer
