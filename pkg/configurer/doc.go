// Package configurer reads the settings of an instance and names file, key and line of each fault.
package configurer
