//! Enums whose values are single words on the wire, with the protocol's word for each.

/// Defines an enum that is written as one word and reads any word: one that this version does not know
/// becomes `Unknown`, so that it never makes a whole message unreadable.
macro_rules! word_enum {
    (
        $(#[$meta:meta])*
        $name:ident { $( $(#[$variant_meta:meta])* $variant:ident = $word:literal, )+ }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub enum $name {
            $( $(#[$variant_meta])* $variant, )+
            /// A word that this version does not know.
            Unknown(String),
        }

        impl $name {
            /// The word on the wire.
            pub fn as_str(&self) -> &str {
                match self {
                    $( $name::$variant => $word, )+
                    $name::Unknown(word) => word,
                }
            }
        }

        impl From<&str> for $name {
            fn from(word: &str) -> Self {
                match word {
                    $( $word => $name::$variant, )+
                    other => $name::Unknown(other.to_string()),
                }
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(self.as_str())
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                String::deserialize(deserializer).map(|word| $name::from(word.as_str()))
            }
        }
    };
}

word_enum! {
    /// State of a task's attempt on a machine.
    TaskStatus {
        /// Its image is being fetched.
        Fetching = "fetching",
        /// It is running.
        Running = "running",
        /// It was told to stop and is writing a checkpoint.
        Checkpointing = "saving",
        /// It has ended; [`ExitCause`] says how.
        Exited = "exited",
    }
}

word_enum! {
    /// Why a task ended on a machine, or was not started there.
    ExitCause {
        /// It completed.
        Done = "done",
        /// It was stopped by a command.
        Stopped = "stopped",
        /// It failed.
        Error = "error",
        /// Refused: the machine has too few free resources.
        NoRoom = "no_room",
        /// Refused: another attempt of the task is on this machine.
        Busy = "busy",
        /// Refused: the agent could not read the job's specification.
        UnknownJob = "unknown",
    }
}

word_enum! {
    /// What a command tells an agent to do.
    Verb {
        /// Start an attempt of a task.
        Launch = "launch",
        /// Stop the attempt, after a checkpoint if there is time for one.
        Stop = "stop",
        /// Acknowledge the exit of an attempt, which the agent then forgets.
        Acknowledge = "reap",
    }
}
