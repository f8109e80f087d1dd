//! Bodies of requests to the cloud's machine API and of its responses.

use crate::amount;
use serde::{Deserialize, Serialize};

/// Response to `GET /machine_types`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalogue {
    /// Machine types that the cloud offers.
    #[serde(rename = "builds")]
    pub machine_types: Vec<MachineType>,
}

/// Machine type of the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// CPUs of a machine of this type.
    #[serde(rename = "vcpus", deserialize_with = "amount::required")]
    pub cpus: f64,
    /// GPUs of a machine of this type.
    #[serde(rename = "accelerators", deserialize_with = "amount::required")]
    pub gpus: f64,
    /// Memory of a machine of this type, in gigabytes.
    #[serde(deserialize_with = "amount::required")]
    pub memory_gb: f64,
    /// Space for cached images, in gigabytes.
    #[serde(default, deserialize_with = "amount::optional")]
    pub local_gb: Option<f64>,
    /// Rate at which images are fetched, in gigabytes per second.
    #[serde(default, deserialize_with = "amount::optional")]
    pub fetch_gb_per_s: Option<f64>,
    /// Price per hour of an on-demand machine.
    #[serde(deserialize_with = "amount::required")]
    pub price: f64,
    /// Price per hour of a spot machine; `None`: the type has no spot machines.
    #[serde(default, deserialize_with = "amount::optional")]
    pub spot_price: Option<f64>,
    /// Boot time that the cloud states, in seconds.
    #[serde(rename = "startup_s", deserialize_with = "amount::required")]
    pub boot_s: f64,
    /// Zones in which the type can be provisioned.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Body of `POST /rentals`, an idempotent request to provision machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Name of the request, which makes it idempotent.
    #[serde(rename = "hire")]
    pub name: String,
    /// Requested machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Requested zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are requested.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Number of requested machines.
    pub number: u64,
}

/// Response to a [`ProvisionRequest`], and body of a request to terminate machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "perches")]
    pub machines: Vec<String>,
}

/// Response to `GET /rentals`: one page of the provisioned machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines, ordered by name.
    #[serde(rename = "perches")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are further pages.
    #[serde(rename = "more", default)]
    pub has_more: bool,
}

/// Machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "uid")]
    pub id: String,
    /// Network address at which the machine's agent accepts commands, once it is known.
    #[serde(rename = "endpoint", default)]
    pub address: Option<String>,
    /// Type of the machine.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Status of the machine: `starting`, `running` or `failed`.
    pub status: String,
    /// Time since the machine was requested, in seconds.
    #[serde(rename = "held_s", deserialize_with = "amount::required")]
    pub age_s: f64,
}
