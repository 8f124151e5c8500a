package api

import (
	"net/http"
	"strings"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	apierrors "k8s.io/apimachinery/pkg/api/errors"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/runtime/schema"
	"k8s.io/apimachinery/pkg/version"

	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
)

// These constants describe the version of Kubernetes whose API the server implements.
const (
	kubernetesMajor   = "1"
	kubernetesMinor   = "37"
	kubernetesVersion = "v1.37.2"
)

// serveDiscovery serves requests to the paths of API discovery. The responses describe the version, the
// groups and the resources of the API.
func (s *Server) serveDiscovery(r *request) (http1.Response, error) {
	if !r.isRead() {
		return http1.Response{}, apierrors.NewMethodNotSupported(schema.GroupResource{Resource: r.pathSegments[0]}, r.Head.Method)
	}
	switch strings.Join(r.pathSegments, "/") {
	case "version":
		return jsonResponse(http.StatusOK, s.versionInfo())
	case "api":
		return jsonResponse(http.StatusOK, &metav1.APIVersions{
			TypeMeta:                   metav1.TypeMeta{Kind: "APIVersions"},
			Versions:                   []string{"v1"},
			ServerAddressByClientCIDRs: []metav1.ServerAddressByClientCIDR{},
		})
	case "apis":
		return jsonResponse(http.StatusOK, &metav1.APIGroupList{
			TypeMeta: metav1.TypeMeta{Kind: "APIGroupList", APIVersion: "v1"},
			Groups:   []metav1.APIGroup{batchGroup()},
		})
	case "apis/batch":
		group := batchGroup()
		return jsonResponse(http.StatusOK, &group)
	case "apis/batch/v1":
		return jsonResponse(http.StatusOK, resourceList(batchv1.SchemeGroupVersion))
	}
	return jsonResponse(http.StatusOK, resourceList(corev1.SchemeGroupVersion))
}

func (s *Server) versionInfo() *version.Info {
	return &version.Info{
		Major:        kubernetesMajor,
		Minor:        kubernetesMinor,
		GitVersion:   kubernetesVersion + "+heathshed-" + s.Version,
		GitTreeState: "clean",
		Compiler:     "gc",
		Platform:     "linux/amd64",
	}
}

func batchGroup() metav1.APIGroup {
	batchVersion := metav1.GroupVersionForDiscovery{GroupVersion: "batch/v1", Version: "v1"}
	return metav1.APIGroup{
		TypeMeta:         metav1.TypeMeta{Kind: "APIGroup", APIVersion: "v1"},
		Name:             "batch",
		Versions:         []metav1.GroupVersionForDiscovery{batchVersion},
		PreferredVersion: batchVersion,
	}
}

// resourceList returns the discovery document that describes the resources of an API group and version.
func resourceList(groupVersion schema.GroupVersion) *metav1.APIResourceList {
	list := &metav1.APIResourceList{
		TypeMeta:     metav1.TypeMeta{Kind: "APIResourceList", APIVersion: "v1"},
		GroupVersion: groupVersion.String(),
	}
	for _, resource := range []store.Resource{store.Jobs, store.Namespaces, store.Nodes, store.Pods} {
		servedType := resourceTypes[resource]
		if servedType.groupVersion != groupVersion {
			continue
		}
		list.APIResources = append(list.APIResources, metav1.APIResource{
			Name:         resource.String(),
			SingularName: strings.ToLower(servedType.kind),
			Namespaced:   servedType.namespaced,
			Kind:         servedType.kind,
			Verbs:        servedType.verbs,
			ShortNames:   servedType.shortNames,
		})
		if resource == store.Pods {
			list.APIResources = append(list.APIResources, metav1.APIResource{
				Name:       "pods/" + evictionSubresource,
				Namespaced: true,
				Kind:       "Eviction",
				Group:      "policy",
				Version:    "v1",
				Verbs:      []string{"create"},
			})
		}
	}
	return list
}
