// Package document decodes and validates the JSON documents and settings files that operators write.
//
// Decode is stricter than encoding/json: field names have to match exactly, and unknown fields, repeated fields, null
// and trailing data are rejected. Every Error names the document, the field as a JSON path such as hosts[3].slots, and
// the allowed values. A Checker records the first fault that a validation finds.
package document
