//! Name types, implemented as shared immutable strings.

macro_rules! define_name {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(
            Clone, Debug, ::serde::Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, ::serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(::std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(::std::sync::Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(::std::sync::Arc::from(text))
            }
        }
    };
}

pub(crate) use define_name;

define_name! {
    /// Name of a failure domain.
    DomainName
}
define_name! {
    /// Name of an entry host.
    HostName
}
define_name! {
    /// Name of a shard, which is a set of upstreams of one failure domain. Its form is
    /// `DOMAIN.INDEX`.
    ShardName
}
define_name! {
    /// Name of a team.
    TeamName
}
define_name! {
    /// Name of an upstream.
    UpstreamName
}
define_name! {
    /// Name of a workload policy.
    WorkloadName
}
