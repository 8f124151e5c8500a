package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
	"strings"

	apierrors "k8s.io/apimachinery/pkg/api/errors"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/runtime"
	kjson "sigs.k8s.io/json"

	"heathshed/internal/control/decodelimit"
)

const (
	// maxWarnings is the maximum number of unknown or duplicate fields for which a response contains
	// warnings.
	maxWarnings = 20
	// maxWarningChars is the maximum number of characters of a warning. A longer warning is cut off.
	maxWarningChars = 200
)

// protobufMessage is implemented by objects that can be decoded from the protobuf encoding.
type protobufMessage interface{ Unmarshal([]byte) error }

// decode decodes the request body into an object of the expected kind. The Content-Type header states
// whether the body is JSON or uses the protobuf encoding. The Kubernetes client library client-go prefers
// the protobuf encoding. If the request has no Content-Type header, the body is decoded as JSON.
func (r *request) decode(into any, wantKind string) error {
	mediaType := jsonType
	if header := r.Head.Header.Get("Content-Type"); header != "" {
		var err error
		if mediaType, _, err = mime.ParseMediaType(header); err != nil {
			return apierrors.NewBadRequest("content-type: " + err.Error())
		}
	}
	switch mediaType {
	case jsonType, "text/json":
		return r.decodeJSON(r.Body, into, wantKind)
	case protobufType:
		return decodeProtobuf(r.Body, into, wantKind)
	}
	return newStatusError(http.StatusUnsupportedMediaType, metav1.StatusReasonUnsupportedMediaType,
		fmt.Sprintf("the body of the request was in an unknown format - "+
			"accepted media types include: application/json, application/vnd.kubernetes.protobuf; not %s", mediaType))
}

// decodeProtobuf decodes a request body from the protobuf encoding into an object of the expected kind.
func decodeProtobuf(body []byte, into any, wantKind string) error {
	content, hasMagic := bytes.CutPrefix(body, protobufMagic)
	if err := decodelimit.CheckProto(content, decodelimit.ObjectLimits()); err != nil {
		return newDecodeLimitError("body", err)
	}
	message, ok := into.(protobufMessage)
	if !ok || !hasMagic {
		return apierrors.NewBadRequest("body is not in the encoding that content-type names")
	}
	var envelope runtime.Unknown
	if err := envelope.Unmarshal(content); err != nil {
		return apierrors.NewBadRequest("body: " + err.Error())
	}
	if err := checkKind(envelope.Kind, wantKind); err != nil {
		return err
	}
	if err := message.Unmarshal(envelope.Raw); err != nil {
		return apierrors.NewBadRequest("body: " + err.Error())
	}
	return nil
}

// decodeJSON decodes JSON into an object of the expected kind. The query parameter fieldValidation determines
// whether unknown and duplicate fields are rejected, ignored or reported as warnings.
func (r *request) decodeJSON(text []byte, into any, wantKind string) error {
	if err := decodelimit.CheckJSON(text, decodelimit.ObjectLimits()); err != nil {
		return newDecodeLimitError("body", err)
	}
	strictErrors, err := kjson.UnmarshalStrict(text, into)
	if err != nil {
		return apierrors.NewBadRequest("body: " + err.Error())
	}
	var typeMeta metav1.TypeMeta
	if err := json.Unmarshal(text, &typeMeta); err == nil {
		if err := checkKind(typeMeta.Kind, wantKind); err != nil {
			return err
		}
	}
	if len(strictErrors) == 0 {
		return nil
	}
	return r.reportStrictErrors(strictErrors)
}

// reportStrictErrors handles errors about unknown and duplicate fields in a request body. Depending on the
// query parameter fieldValidation, it ignores these errors, adds them to the response as warnings, or returns
// an error that rejects the request.
func (r *request) reportStrictErrors(strictErrors []error) error {
	var warnings []string
	for i, strictError := range strictErrors {
		if i == maxWarnings {
			warnings = append(warnings, fmt.Sprintf("and %d more", len(strictErrors)-i))
			break
		}
		warnings = append(warnings, fmt.Sprintf("%.*s", maxWarningChars, strictError.Error()))
	}
	switch r.query.Get("fieldValidation") {
	case metav1.FieldValidationStrict:
		return apierrors.NewBadRequest("strict decoding error: " + strings.Join(warnings, ", "))
	case metav1.FieldValidationIgnore:
		return nil
	case "", metav1.FieldValidationWarn:
		r.warnings = append(r.warnings, warnings...)
		return nil
	}
	return apierrors.NewBadRequest("fieldValidation: want Ignore, Warn or Strict")
}

// checkKind returns an error if a request body states a kind of object that differs from the expected kind.
// The body may omit the kind.
func checkKind(got, want string) error {
	if got != "" && got != want {
		return apierrors.NewBadRequest(fmt.Sprintf("the object in the body is a %s, want a %s", got, want))
	}
	return nil
}
